#include "Transport/TargetClient.h"

#include "Observability/Log.h"
#include "Routing/Events.h"
#include "Transport/ExecuteCall.h"
#include "Transport/TargetCodec.h"

#include <atomic>

namespace Lavenderloft::Transport {

namespace {

    // An unresponsive connection is detected within 4 s (docs/design.md, section 4.10).
    constexpr int keepAliveIntervalMs = 2000;
    constexpr int keepAliveTimeoutMs = 2000;
    constexpr int initialReconnectBackoffMs = 100;
    constexpr int maximumReconnectBackoffMs = 1000;

    // HTTP/2 read-ahead per stream, and the maximum size of a received message.
    constexpr int readAheadBytes = 16 * 1024;
    constexpr int maximumMessageBytes = 1024 * 1024;

    // Consecutive failures after which a channel that never connected is replaced.
    constexpr unsigned maximumConsecutiveFailures = 3;

    grpc::ChannelArguments channelArguments()
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepAliveIntervalMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepAliveTimeoutMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initialReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, maximumReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maximumReconnectBackoffMs);
        // Without these two limits a blocked stream could buffer megabytes.
        arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
        arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, readAheadBytes);
        arguments.SetMaxReceiveMessageSize(maximumMessageBytes);
        // The router decides on retries. The transparent retries of gRPC, which move a call from a connection that has
        // just failed to the next one, also left calls without a response after their permit.
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        // A replaced channel must not share its predecessor's connection.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        return arguments;
    }

    // The objects that must outlive a ResolveAttempt call until its callback returns.
    struct ResolveCall {
        grpc::ClientContext context;
        v1::ResolveAttemptRequest request;
        v1::ResolveAttemptResponse response;
    };

} // namespace

struct TargetClient::Connection {
    Connection(const std::string& address, const Credentials& credentials)
        : stub(v1::TargetService::NewStub(grpc::CreateCustomChannel(address, credentials.channel(address), channelArguments())))
    {
    }

    std::shared_ptr<v1::TargetService::Stub> stub;
    std::atomic<unsigned> consecutiveFailures { 0 };
    std::atomic<bool> hasSucceeded { false };
};

TargetClient::TargetClient(std::string address, SharedCredentials credentials)
    : m_address(std::move(address))
    , m_credentials(std::move(credentials))
{
}

TargetClient::~TargetClient() = default;

std::shared_ptr<TargetClient::Connection> TargetClient::connection()
{
    std::lock_guard guard(m_lock);
    if (!m_connection)
        m_connection = std::make_shared<Connection>(m_address, *m_credentials);
    return m_connection;
}

void TargetClient::callFinished(const std::shared_ptr<Connection>& connection, bool isConnectionUsable)
{
    if (isConnectionUsable) {
        connection->consecutiveFailures = 0;
        connection->hasSucceeded = true;
        return;
    }
    // For a moment after the first call on a connection has failed, the channel still uses that connection, and
    // retries on it would fail too. A channel that never connected keeps its reconnect backoff until the failure limit.
    if (++connection->consecutiveFailures < maximumConsecutiveFailures && !connection->hasSucceeded)
        return;
    std::lock_guard guard(m_lock);
    if (m_connection != connection)
        return;
    m_connection.reset();
    Observability::logEvent(Routing::channelReplaced, { { "address", m_address } });
}

std::shared_ptr<Routing::Attempt> TargetClient::open(const Routing::AdmissionRequest& admission, std::shared_ptr<Routing::AttemptEvents> events)
{
    auto current = connection();
    return std::make_shared<ExecuteCall>(current->stub, admission, std::move(events), [self = shared_from_this(), current](bool isConnectionUsable) {
        self->callFinished(current, isConnectionUsable);
    });
}

void TargetClient::resolve(const std::string& attemptId, const Routing::Permit& permit, Base::Duration timeout, std::function<void(Routing::Resolution)> done)
{
    auto call = std::make_shared<ResolveCall>();
    call->request.set_attempt_id(attemptId);
    call->request.set_permit_id(permit.id);
    call->request.set_agent_incarnation(permit.agentIncarnation);
    // The stream has just failed, so the call waits for the reconnect.
    call->context.set_wait_for_ready(true);
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    auto current = connection();
    current->stub->async()->ResolveAttempt(&call->context, &call->request, &call->response, [call, current, done = std::move(done)](const grpc::Status& status) {
        done(status.ok() ? decodeResolution(call->response) : Routing::Resolution {});
    });
}

TargetClients::TargetClients(SharedCredentials credentials)
    : m_credentials(std::move(credentials))
{
}

std::shared_ptr<Routing::TargetChannel> TargetClients::channelTo(const std::string& address)
{
    return m_clients.withShard(address, [&](auto& entries) {
        auto& client = entries[address];
        if (!client)
            client = std::make_shared<TargetClient>(address, m_credentials);
        return client;
    });
}

void TargetClients::retain(const std::set<std::string>& addresses)
{
    m_clients.eraseIf([&](auto& address, auto&) { return !addresses.contains(address); });
}

} // namespace Lavenderloft::Transport
