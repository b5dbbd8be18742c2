#pragma once

#include "Admission/AdmissionContextSource.h"
#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Http/HttpServer.h"
#include "Process/TargetNode.h"
#include "Transport/TargetServiceServer.h"

#include "lavenderloft.grpc.pb.h"

#include <atomic>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>

namespace Lavenderloft::Testing {

namespace protocol = ::lavenderloft::v1;

// An admission context that is set by the test.
class FixedAdmissionContext final : public Admission::AdmissionContextSource {
public:
    Admission::AdmissionContext admissionContext() const override
    {
        std::lock_guard guard(m_lock);
        return m_context;
    }

    void change(const std::function<void(Admission::AdmissionContext&)>& function)
    {
        std::lock_guard guard(m_lock);
        function(m_context);
    }

private:
    mutable std::mutex m_lock;
    Admission::AdmissionContext m_context;
};

// A target whose responses are set by the test and can be delayed.
class ScriptedTarget final : public Http::HttpHandler {
public:
    void handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseStream> stream) override
    {
        std::unique_lock guard(m_lock);
        ++m_requests;
        m_changed.notify_all();
        m_changed.wait(guard, [&] { return !m_isHeld; });
        if (m_parts) {
            stream->start(200, {});
            return writeParts(stream, m_parts);
        }
        auto response = m_response;
        response.body += request.body;
        guard.unlock();
        stream->respond(response);
    }

    // Responds with this response, with the body of the request appended.
    void respondWith(Http::HttpResponse response)
    {
        std::lock_guard guard(m_lock);
        m_response = std::move(response);
    }

    // Responds with this number of parts, each written after the previous one was accepted.
    void respondInParts(unsigned parts)
    {
        std::lock_guard guard(m_lock);
        m_parts = parts;
    }

    // Total size of the parts that were accepted.
    size_t acceptedBytes() const { return m_acceptedBytes; }

    static constexpr size_t partBytes = 64 * 1024;

    // Blocks responses while held.
    void hold(bool isHeld)
    {
        std::lock_guard guard(m_lock);
        m_isHeld = isHeld;
        m_changed.notify_all();
    }

    void waitForRequests(int count)
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return m_requests >= count; });
    }

    int requests() const
    {
        std::lock_guard guard(m_lock);
        return m_requests;
    }

private:
    void writeParts(const std::shared_ptr<Http::ResponseStream>& stream, unsigned remaining)
    {
        if (!remaining)
            return stream->finish();
        stream->write(std::string(partBytes, 'x'), [this, stream, remaining](bool ok) {
            if (!ok)
                return;
            m_acceptedBytes += partBytes;
            writeParts(stream, remaining - 1);
        });
    }

    mutable std::mutex m_lock;
    std::condition_variable m_changed;
    std::atomic<size_t> m_acceptedBytes { 0 };
    unsigned m_parts = 0;
    int m_requests = 0;
    bool m_isHeld = false;
    Http::HttpResponse m_response { 200, {}, "" };
};

// The TargetService of an agent on loopback, with a scripted plain service named "ledger" as the target.
struct TargetFixture {
    explicit TargetFixture(uint64_t agentIncarnation = 1, Settings::TargetKind kind = Settings::TargetKind::Service)
        : target(std::make_shared<ScriptedTarget>())
        , targetServer({}, target)
    {
        admissionContext.change([&](Admission::AdmissionContext& state) {
            auto document = std::make_shared<DesiredState::Document>();
            document->services.push_back({ "ledger", { "vm-1" } });
            state.document = document;
            state.vm = "vm-1";
            state.kind = kind;
            state.service = "ledger";
            state.isSynchronised = true;
        });
        context = std::make_shared<Process::TargetContext>(agentIncarnation, kind, Http::Endpoint { "127.0.0.1", targetServer.port() }, admissionContext, client, clock, random, metrics);
        context->state.permits.occupancy.setLimit(4);
        context->state.permits.occupancy.setByteLimit(1024 * 1024);
        node = std::make_unique<Process::TargetNode>(context);
        service = Transport::makeTargetService(*node, clock);
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(service.get());
        server = builder.BuildAndStart();
        stub = protocol::TargetService::NewStub(grpc::CreateChannel("127.0.0.1:" + std::to_string(port), grpc::InsecureChannelCredentials()));
    }

    ~TargetFixture()
    {
        target->hold(false);
        server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    }

    std::shared_ptr<ScriptedTarget> target;
    Http::HttpServer targetServer;
    FixedAdmissionContext admissionContext;
    Base::ManualClock clock;
    Base::SeededRandom random { 1 };
    Observability::Metrics metrics;
    Http::HttpClient client;
    std::shared_ptr<Process::TargetContext> context;
    std::unique_ptr<Process::TargetNode> node;
    std::shared_ptr<grpc::Service> service;
    std::unique_ptr<grpc::Server> server;
    std::unique_ptr<protocol::TargetService::Stub> stub;
};

// The router side of one Execute stream, with blocking calls.
class RouterCall {
public:
    explicit RouterCall(protocol::TargetService::Stub& stub)
        : m_stream(stub.Execute(&m_context))
    {
    }

    explicit RouterCall(TargetFixture& fixture)
        : RouterCall(*fixture.stub)
    {
    }

    static protocol::Admit makeAdmit(const std::string& attemptId, const std::string& key, uint64_t bodyBytes)
    {
        protocol::Admit admit;
        admit.set_attempt_id(attemptId);
        admit.set_organisation("school-1");
        admit.set_pool("ledger");
        admit.set_idempotency_key(key);
        admit.set_repeatable(key.empty());
        admit.set_body_bytes(bodyBytes);
        return admit;
    }

    protocol::ExecuteResponse admit(const protocol::Admit& admit)
    {
        protocol::ExecuteRequest request;
        *request.mutable_admit() = admit;
        m_stream->Write(request);
        return read();
    }

    void sendBody(const std::string& permitId, const std::string& body)
    {
        protocol::ExecuteRequest request;
        request.mutable_head()->set_permit_id(permitId);
        request.mutable_head()->set_method("POST");
        request.mutable_head()->set_path("/ledger/bookings");
        m_stream->Write(request);
        request.set_body(body);
        m_stream->Write(request);
        request.set_end_of_body(true);
        m_stream->Write(request);
    }

    // Returns the next message, or an empty one at the end of the stream.
    protocol::ExecuteResponse read()
    {
        protocol::ExecuteResponse response;
        if (!m_stream->Read(&response))
            response.Clear();
        return response;
    }

    // Reads to the end of the response and returns its body. Stores the head in `head` and the last message in `end`.
    std::string readResponse()
    {
        std::string body;
        while (true) {
            auto response = read();
            if (response.has_head())
                head = response.head();
            else if (response.has_data())
                body += response.data().bytes();
            else {
                end = response;
                return body;
            }
        }
    }

    void cancel()
    {
        m_context.TryCancel();
        protocol::ExecuteResponse response;
        while (m_stream->Read(&response)) { }
        m_stream->Finish();
    }

    protocol::ResponseHead head;
    protocol::ExecuteResponse end;

private:
    grpc::ClientContext m_context;
    std::unique_ptr<grpc::ClientReaderWriter<protocol::ExecuteRequest, protocol::ExecuteResponse>> m_stream;
};

} // namespace Lavenderloft::Testing
