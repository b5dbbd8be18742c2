#include "Transport/ControlServiceClient.h"

#include "Transport/ControlCodec.h"

#include "lavenderloft.grpc.pb.h"

#include <atomic>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <list>
#include <mutex>
#include <unordered_map>

namespace Lavenderloft::Transport {

namespace proto = ::lavenderloft::v1;

namespace {

    // Each process contacts a number of peers that is logarithmic in the size of the fleet. Channels beyond this
    // limit are evicted, least recently used first.
    constexpr size_t maximumChannels = 32;

    // Lets a peer that restarts be reconnected within a few probe intervals.
    constexpr int maximumReconnectBackoffMs = 2000;
    constexpr int initialReconnectBackoffMs = 200;
    // Includes the TLS handshake, which takes long between regions and on a busy VM.
    constexpr int connectTimeoutMs = 2000;

    grpc::ChannelArguments channelArguments()
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maximumReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initialReconnectBackoffMs);
        // gRPC gives a connection attempt at least this time, whatever the backoff.
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connectTimeoutMs);
        // A connection is not shared with other channels, so that an unresponsive one can be replaced independently.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        return arguments;
    }

} // namespace

struct ControlServiceClient::State {
    using Stub = std::shared_ptr<proto::ControlService::Stub>;

    explicit State(SharedCredentials sharedCredentials)
        : credentials(std::move(sharedCredentials))
    {
    }

    const SharedCredentials credentials;
    std::mutex lock;
    std::condition_variable idle;
    std::list<std::pair<std::string, Stub>> channels;
    std::unordered_map<std::string, decltype(channels)::iterator> byAddress;
    size_t pendingCalls = 0;
    std::atomic<uint64_t> bytes { 0 };

    Stub stubFor(const std::string& address)
    {
        std::lock_guard guard(lock);
        ++pendingCalls;
        auto found = byAddress.find(address);
        if (found != byAddress.end()) {
            channels.splice(channels.begin(), channels, found->second);
            return channels.front().second;
        }
        auto channel = grpc::CreateCustomChannel(address, credentials->channel(address), channelArguments());
        channels.emplace_front(address, proto::ControlService::NewStub(channel));
        byAddress[address] = channels.begin();
        if (channels.size() > maximumChannels) {
            byAddress.erase(channels.back().first);
            channels.pop_back();
        }
        return channels.front().second;
    }

    void callEnded()
    {
        std::lock_guard guard(lock);
        if (!--pendingCalls)
            idle.notify_all();
    }
};

namespace {

    // The objects that must outlive a unary call until its callback returns.
    template <typename Request, typename Response, typename Stub>
    struct UnaryCall {
        Stub stub;
        grpc::ClientContext context;
        Request request;
        Response response;
    };

    template <typename Request, typename Response, typename Stub>
    auto makeCall(Stub stub, std::chrono::milliseconds timeout)
    {
        auto call = std::make_shared<UnaryCall<Request, Response, Stub>>();
        call->stub = std::move(stub);
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        return call;
    }

} // namespace

ControlServiceClient::ControlServiceClient(SharedCredentials credentials)
    : m_state(std::make_shared<State>(std::move(credentials)))
{
}

ControlServiceClient::~ControlServiceClient()
{
    std::unique_lock guard(m_state->lock);
    m_state->idle.wait(guard, [this] { return m_state->pendingCalls == 0; });
}

void ControlServiceClient::exchange(const std::string& address, const Membership::GossipMessage& message, std::chrono::milliseconds timeout, ExchangeCallback callback)
{
    auto call = makeCall<proto::ExchangeRequest, proto::ExchangeResponse>(m_state->stubFor(address), timeout);
    encode(message, call->request);
    m_state->bytes += call->request.ByteSizeLong();
    call->stub->async()->Exchange(&call->context, &call->request, &call->response, [call, state = m_state, callback = std::move(callback)](const grpc::Status& status) {
        state->bytes += call->response.ByteSizeLong();
        callback(status.ok() ? std::optional(decode(call->response, {})) : std::nullopt);
        state->callEnded();
    });
}

void ControlServiceClient::fetchDocument(const std::string& address, const std::string& heldDigest, std::chrono::milliseconds timeout, DocumentCallback callback)
{
    auto call = makeCall<proto::GetDocumentRequest, proto::GetDocumentResponse>(m_state->stubFor(address), timeout);
    call->request.set_held_digest(heldDigest);
    call->stub->async()->GetDocument(&call->context, &call->request, &call->response, [call, state = m_state, callback = std::move(callback)](const grpc::Status& status) {
        state->bytes += call->request.ByteSizeLong() + call->response.ByteSizeLong();
        if (status.ok())
            callback(Membership::DocumentReply { call->response.document(), call->response.delta(), call->response.document_digest() });
        else
            callback(std::nullopt);
        state->callEnded();
    });
}

Base::Result<Membership::FleetStatus, ControlError> ControlServiceClient::fetchStatus(const std::string& address, std::chrono::milliseconds timeout)
{
    auto call = makeCall<proto::GetStatusRequest, proto::GetStatusResponse>(m_state->stubFor(address), timeout);
    auto result = call->stub->GetStatus(&call->context, call->request, &call->response);
    m_state->callEnded();
    if (!result.ok())
        return ControlError { ControlErrorKind::Unreachable, "no status from " + address + ": " + result.error_message(), "give the inner address of a running router or agent, and a certificate that it accepts" };
    Membership::FleetStatus status;
    status.self = decode(call->response.self());
    for (auto& member : call->response.members())
        status.members.push_back(decode(member));
    for (auto& report : call->response.pool_reports())
        status.poolReports.push_back(decode(report));
    status.revision = call->response.revision();
    status.documentDigest = call->response.document_digest();
    status.refusedDocument = call->response.refused_document();
    status.confirmationAge = std::chrono::milliseconds(call->response.confirmation_age_ms());
    return status;
}

uint64_t ControlServiceClient::bytesTransferred() const
{
    return m_state->bytes;
}

} // namespace Lavenderloft::Transport
