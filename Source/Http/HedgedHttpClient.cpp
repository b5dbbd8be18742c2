#include "Http/HedgedHttpClient.h"

#include "Http/SpawnTask.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace Lavenderloft::Http {

namespace asio = boost::asio;
using SteadyClock = asio::steady_timer::clock_type;
using CallResult = Base::Result<HttpResponse, HttpError>;

// One request on a connection of its own.
struct HedgedHttpClient::Exchange {
    std::unique_ptr<PersistentHttpClient> client;
    bool hasEnded = false;
    // Empty if an exception ended the exchange.
    std::optional<CallResult> result;
    uint64_t seenBytes = 0;

    bool hasSucceeded() const { return hasEnded && result && Base::succeeded(*result); }
    bool hasFailed() const { return hasEnded && !hasSucceeded(); }

    // Whether a part of the response has arrived since the last look.
    bool hasProgressed()
    {
        auto seen = std::exchange(seenBytes, client->receivedBytes());
        return seenBytes != seen;
    }
};

// The exchanges of one call.
struct HedgedHttpClient::Attempts {
    ExchangePointer request;
    // Null until the first hedge is sent.
    ExchangePointer hedge;

    bool isHedgeAnswered() const { return hedge && hedge->hasSucceeded(); }

    bool areDecided() const
    {
        bool isHedgeUnderWay = hedge && !hedge->hasEnded;
        return request->hasSucceeded() || isHedgeAnswered() || (request->hasFailed() && !isHedgeUnderWay);
    }

    // Whether nothing of a response has arrived since the last look.
    bool areSilent()
    {
        bool hasRequestProgressed = !request->hasEnded && request->hasProgressed();
        bool hasHedgeProgressed = hedge && !hedge->hasEnded && hedge->hasProgressed();
        return !hasRequestProgressed && !hasHedgeProgressed;
    }
};

HedgedHttpClient::HedgedHttpClient(asio::io_context& context, Endpoint endpoint)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_exchangeEnded(std::make_shared<asio::steady_timer>(context))
{
}

HedgedHttpClient::~HedgedHttpClient() = default;

void HedgedHttpClient::disconnect()
{
    m_connection.reset();
}

std::unique_ptr<PersistentHttpClient> HedgedHttpClient::newConnection() const
{
    return std::make_unique<PersistentHttpClient>(m_context.get_executor(), m_endpoint);
}

// An abandoned exchange ends later than its call, so its coroutine shares what it uses.
HedgedHttpClient::ExchangePointer HedgedHttpClient::start(std::unique_ptr<PersistentHttpClient> client, HttpRequest request, std::chrono::milliseconds timeout)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->client = std::move(client);
    spawnTask(m_context, "hedged-exchange", [exchange, ended = m_exchangeEnded, request = std::move(request), timeout]() -> asio::awaitable<void> {
        auto shared = exchange;
        auto timer = ended;
        // Also when an exception ends this coroutine.
        std::shared_ptr<void> end(nullptr, [&shared](void*) { shared->hasEnded = true; });
        auto result = co_await shared->client->call(request, timeout);
        shared->result = std::move(result);
        shared->hasEnded = true;
        timer->cancel();
    });
    return exchange;
}

asio::awaitable<void> HedgedHttpClient::waitForEnd(std::chrono::milliseconds time)
{
    boost::system::error_code ignored;
    m_exchangeEnded->expires_after(time);
    co_await m_exchangeEnded->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void HedgedHttpClient::sendHedgeIfSilent(Attempts& attempts, const HedgeProvider& hedge, std::chrono::milliseconds timeout)
{
    if (!attempts.areSilent())
        return;
    if (attempts.hedge)
        attempts.hedge->client->cancel();
    attempts.hedge = start(newConnection(), hedge(), timeout);
}

Base::Result<HedgedHttpClient::Response, HttpError> HedgedHttpClient::conclude(Attempts& attempts)
{
    bool isOfHedge = !attempts.request->hasSucceeded() && attempts.isHedgeAnswered();
    auto& decisive = isOfHedge ? attempts.hedge : attempts.request;
    auto& other = isOfHedge ? attempts.request : attempts.hedge;
    if (other)
        other->client->cancel();
    if (!decisive->result)
        return HttpError { HttpErrorKind::Broken, m_endpoint.toString() + ": the exchange was ended by an exception", "see the logged task failure" };
    if (!Base::succeeded(*decisive->result))
        return Base::errorOf(*decisive->result);
    m_connection = std::move(decisive->client);
    return Response { std::move(Base::valueOf(*decisive->result)), isOfHedge };
}

asio::awaitable<Base::Result<HedgedHttpClient::Response, HttpError>> HedgedHttpClient::call(HttpRequest request, HedgeProvider hedge, HedgeTimes times)
{
    auto connection = m_connection ? std::move(m_connection) : newConnection();
    Attempts attempts { start(std::move(connection), std::move(request), times.timeout), nullptr };
    auto nextLookAt = SteadyClock::now() + times.delay;
    while (!attempts.areDecided()) {
        auto now = SteadyClock::now();
        if (now < nextLookAt) {
            co_await waitForEnd(std::chrono::ceil<std::chrono::milliseconds>(nextLookAt - now));
            continue;
        }
        // The last hedge has had its time too.
        if (attempts.request->hasFailed() && attempts.areSilent())
            break;
        sendHedgeIfSilent(attempts, hedge, times.timeout);
        nextLookAt = now + times.interval;
    }
    auto response = conclude(attempts);
    co_return response;
}

} // namespace Lavenderloft::Http
