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

// One TargetService.Execute stream. Keeps itself alive from its start to the end of the stream.
class ExecuteCall final : public Routing::Attempt,
                          private grpc::ClientBidiReactor<v1::ExecuteRequest, v1::ExecuteResponse>,
                          public std::enable_shared_from_this<ExecuteCall> {
public:
    // Told at the end of the stream whether the connection served it.
    using Finished = std::function<void(bool connectionWorked)>;

    ExecuteCall(std::shared_ptr<v1::TargetService::Stub>, const Routing::AdmissionRequest&, std::shared_ptr<Routing::AttemptEvents>, Finished);

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
    Finished m_finished;
    grpc::ClientContext m_context;
    v1::ExecuteResponse m_response;
    std::shared_ptr<ExecuteCall> m_self;

    std::mutex m_lock;
    std::shared_ptr<Routing::AttemptEvents> m_events;
    // The front is being written.
    std::deque<v1::ExecuteRequest> m_writes;
    // Reads and writes may be started from outside a reaction only while the hold is there.
    bool m_held = false;
    bool m_hasWriteFailed = false;
};

} // namespace Lavenderloft::Transport
