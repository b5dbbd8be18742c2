#include "Proxy/ErrorResponder.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Proxy/Events.h"

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    // Fraction of the bound for configurations for which a router relies on its own one after the last news. The rest is
    // for reports that waited on a link.
    constexpr double usableConfigurationShare = 0.75;
    // A router usually learns of a new configuration within this time.
    constexpr std::chrono::milliseconds outdatedConfigurationRetryAfter = 300ms;
    constexpr std::chrono::milliseconds noConfigurationRetryAfter = 500ms;
    // Short, because the next connection of the caller goes to another node.
    constexpr std::chrono::milliseconds closingRetryAfter = 50ms;
    // Targets that read slowly free the memory of a body within seconds.
    constexpr std::chrono::milliseconds bodyMemoryRetryAfter = 1000ms;

    std::string formatSeconds(std::chrono::milliseconds duration)
    {
        auto thousandths = std::to_string(duration.count() % 1000);
        return std::to_string(duration.count() / 1000) + "." + std::string(3 - thousandths.size(), '0') + thousandths;
    }

} // namespace

ErrorResponder::ErrorResponder(std::shared_ptr<ProxyRequest> request, CallerResponse& response, RequestLog& log)
    : m_context(request->context)
    , m_request(std::move(request))
    , m_response(response)
    , m_log(log)
{
}

asio::awaitable<void> ErrorResponder::respond(unsigned status, const char* code, std::optional<std::chrono::milliseconds> retryAfter)
{
    Http::HttpResponse response;
    response.status = status;
    response.headers = { { "Content-Type", "application/json" } };
    if (retryAfter)
        response.headers.push_back({ "Retry-After", formatSeconds(*retryAfter) });
    response.body = std::string(R"({"error":")") + code + "\"}";
    co_await m_response.send(response);
    bool isDenial = status >= 400 && status < 429;
    m_log.finished(isDenial ? Events::requestDenied : status == 503 ? Events::requestRefused
                                                                    : Events::requestFailed,
        status, code);
}

// A configuration that is in force elsewhere may allow the request.
asio::awaitable<void> ErrorResponder::deny(unsigned status, const char* code)
{
    auto maximumAge = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.dispatch.bounds().configuration * usableConfigurationShare);
    bool isOutdated = Fleet::Queries::mayBeOutdated(m_request->completeness, maximumAge, m_context.clock.now());
    m_log.deniedByConfiguration(isOutdated);
    if (isOutdated)
        co_await respond(503, "configuration_outdated", outdatedConfigurationRetryAfter);
    else
        co_await respond(status, code);
}

asio::awaitable<void> ErrorResponder::refuse(const Dispatch::Refusal& refusal)
{
    auto name = Dispatch::refusalName(refusal.reason);
    co_await respond(503, name.data(), refusal.retryAfter);
}

asio::awaitable<void> ErrorResponder::fail(AttemptEnd end)
{
    if (m_request->callerDisconnected()) {
        m_log.finished(Events::requestAbandoned, 0, "caller_left");
        co_return;
    }
    if (m_response.isStarted()) {
        m_response.abort();
        m_log.finished(Events::requestFailed, 0, "stream_broken");
        co_return;
    }
    if (m_request->history.runs == 0) {
        Dispatch::Refusal refusal { Dispatch::RefusalReason::NoTarget, noConfigurationRetryAfter };
        co_await refuse(refusal);
        co_return;
    }
    bool isLate = m_context.clock.now() >= m_request->traits.deadline;
    co_await respond(isLate || end == AttemptEnd::TimedOut ? 504 : 502, isLate ? "timeout" : "target_failed");
}

asio::awaitable<void> ErrorResponder::endForStop()
{
    if (m_response.isStarted()) {
        m_response.abort();
        m_log.finished(Events::requestFailed, 0, "router_stopped");
    } else if (m_request->history.runs == 0)
        co_await refuseForStop();
    else
        co_await respond(504, "router_stopped");
}

asio::awaitable<void> ErrorResponder::refuseForMemory()
{
    co_await respond(503, "body_memory", bodyMemoryRetryAfter);
}

asio::awaitable<void> ErrorResponder::refuseForStop()
{
    co_await respond(503, "closing", closingRetryAfter);
}

asio::awaitable<void> ErrorResponder::refuseWithoutConfiguration()
{
    co_await respond(503, "no_configuration", noConfigurationRetryAfter);
}

} // namespace Lavenderloft::Proxy
