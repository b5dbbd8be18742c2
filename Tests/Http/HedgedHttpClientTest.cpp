#include "Http/HedgedHttpClient.h"
#include "Proxy/ScriptedTarget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Http;
using namespace std::chrono_literals;
using Proxy::ScriptedReply;
using Proxy::ScriptedTarget;
using Then = ScriptedReply::Then;

namespace {

// Longer than any test takes if the client does what it should.
constexpr auto longTime = 60000ms;

ScriptedReply answer(const std::string& body)
{
    return ScriptedReply { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
}

ScriptedReply noAnswer()
{
    return ScriptedReply { "", Then::Hang };
}

// Whether the head is that of a request to the path.
bool isTo(const std::string& head, const std::string& path)
{
    return head.find(" " + path + " ") != std::string::npos;
}

// A client with an event loop of its own. The request goes to /request and its hedges to /hedge.
struct TestClient {
    explicit TestClient(const ScriptedTarget& server)
        : client(context, Endpoint { "127.0.0.1", server.port() })
    {
    }

    Base::Result<HedgedHttpClient::Response, HttpError> call(HedgeTimes times)
    {
        auto hedge = [this] {
            ++hedges;
            return requestTo("/hedge");
        };
        auto result = boost::asio::co_spawn(context, client.call(requestTo("/request"), hedge, times), boost::asio::use_future);
        context.restart();
        context.run();
        return result.get();
    }

    static HttpRequest requestTo(const std::string& path)
    {
        HttpRequest request;
        request.target = path;
        return request;
    }

    boost::asio::io_context context;
    HedgedHttpClient client;
    unsigned hedges = 0;
};

} // namespace

// Guards against a server that nobody asks after an outage, because the answer to a request that it has lost is waited for.
Test(HedgedHttpClient, asksAgainWhileARequestIsNotAnswered)
{
    // Two hedges are lost too.
    ScriptedTarget server([](const std::string&, unsigned number) { return number < 3 ? noAnswer() : answer("back"); });
    TestClient test(server);
    HedgeTimes times { longTime, 20ms, 50ms };
    auto start = std::chrono::steady_clock::now();
    auto result = test.call(times);
    auto elapsed = std::chrono::steady_clock::now() - start;
    cr_assert(Base::succeeded(result));
    cr_expect(Base::valueOf(result).isOfHedge);
    cr_expect_eq(Base::valueOf(result).response.body, "back");
    // More only if the answer takes longer than an interval.
    cr_expect_geq(test.hedges, 3u);
    cr_expect_leq(test.hedges, 1 + (elapsed - times.delay) / times.interval);
}

// Guards against a slow server that is given up again and again: its answer comes after hedges were sent.
Test(HedgedHttpClient, keepsWaitingForTheRequestBesideItsHedges)
{
    ScriptedTarget server([](const std::string& head, unsigned) {
        if (!isTo(head, "/request"))
            return noAnswer();
        auto late = answer("late");
        return ScriptedReply { "", Then::KeepOpen, "", 0ms, late.bytes, 400ms };
    });
    TestClient test(server);
    auto result = test.call({ longTime, 20ms, 50ms });
    cr_assert(Base::succeeded(result));
    cr_expect_not(Base::valueOf(result).isOfHedge);
    cr_expect_gt(test.hedges, 0u);
}

// Guards against a large response that is asked for again while it arrives, which only slows it down.
Test(HedgedHttpClient, sendsNoHedgeWhileAResponseArrives)
{
    ScriptedTarget server([](const std::string&, unsigned) {
        std::string part(1000, 'x');
        return ScriptedReply { "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", Then::Repeat, part, 1ms };
    });
    TestClient test(server);
    // The first look comes when a part has long arrived.
    auto result = test.call({ longTime, 700ms, 700ms });
    cr_assert(Base::succeeded(result));
    cr_expect_eq(Base::valueOf(result).response.body.size(), 1000000u);
    cr_expect_eq(test.hedges, 0u);
}

// Guards against calls without an end.
Test(HedgedHttpClient, endsWithTheErrorOfTheRequest)
{
    ScriptedTarget server([](const std::string&, unsigned) { return noAnswer(); });
    TestClient test(server);
    auto result = test.call({ 300ms, 50ms, 100ms });
    cr_assert_not(Base::succeeded(result));
    cr_expect_eq(Base::errorOf(result).kind, HttpErrorKind::TimedOut);
}

// Guards against new connections for each call, and against the answer to an abandoned request that is taken for the next one.
Test(HedgedHttpClient, goesOnOverTheConnectionThatWasAnswered)
{
    ScriptedTarget server([](const std::string&, unsigned number) { return number == 0 ? noAnswer() : answer(std::to_string(number)); });
    TestClient test(server);
    for (unsigned call = 1; call <= 3; ++call) {
        auto result = test.call({ longTime, call == 1 ? 200ms : longTime, longTime });
        cr_assert(Base::succeeded(result));
        cr_expect_eq(Base::valueOf(result).response.body, std::to_string(call));
        cr_expect_eq(Base::valueOf(result).isOfHedge, call == 1);
    }
    cr_expect_eq(test.hedges, 1u);
}
