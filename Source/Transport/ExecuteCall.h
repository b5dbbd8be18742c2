#pragma once

#include "Routing/TargetChannel.h"
#include "lavenderloft.grpc.pb.h"

#include <deque>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>

namespace Lavenderloft::Transport {

namespace v1 = ::lavenderloft::v1;

// The client side of one TargetService.Execute stream. Owns itself from start() to the end of the stream.
class ExecuteCall final : public Routing::Attempt,
                          private grpc::ClientBidiReactor<v1::ExecuteRequest, v1::ExecuteResponse>,
                          public std::enable_shared_from_this<ExecuteCall> {
public:
    // Called at the end of the stream with whether the connection was usable.
    using FinishedCallback = std::function<void(bool isConnectionUsable)>;

    ExecuteCall(std::shared_ptr<v1::TargetService::Stub>, const Routing::AdmissionRequest&, std::shared_ptr<Routing::AttemptEvents>, FinishedCallback);

    void start() override;
    void send(const std::string& permitId, const Routing::CallerRequest&) override;
    void cancel() override;

private:
    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone(const grpc::Status&) override;

    void readNext();
    void deliver(const std::shared_ptr<Routing::AttemptEvents>&);
    void writeNext();
    std::shared_ptr<Routing::AttemptEvents> events();
    void releaseHold();

    std::shared_ptr<v1::TargetService::Stub> m_stub;
    FinishedCallback m_finished;
    grpc::ClientContext m_context;
    v1::ExecuteResponse m_response;
    std::shared_ptr<ExecuteCall> m_self;

    std::mutex m_lock;
    std::shared_ptr<Routing::AttemptEvents> m_events;
    // The first element is being written.
    std::deque<v1::ExecuteRequest> m_writes;
    // gRPC allows reads and writes to be started outside a reaction only between AddHold and RemoveHold.
    bool m_hasHold = false;
    bool m_hasWriteFailed = false;
};

} // namespace Lavenderloft::Transport
