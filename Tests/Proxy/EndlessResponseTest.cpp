#include "Proxy/TestRouter.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using namespace std::chrono_literals;
using Then = ScriptedReply::Then;

namespace {

using Head = std::string (*)(const std::string&);

constexpr auto finalChunk = "0\r\n\r\n";
constexpr auto routeTimeout = 20s;
// Does not occur in the heads of responses.
constexpr char bodyByte = '~';
constexpr size_t longBodyBytes = 1024 * 1024;

std::string noHead(const std::string&)
{
    return {};
}

std::string lengthHead(const std::string& head, size_t length)
{
    return "HTTP/1.1 200 OK\r\nLavenderloft-Request-Id: " + fieldOf(head, "Lavenderloft-Request-Id") + "\r\nLavenderloft-Response-Seal: seal\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string repeatedUnit(const std::string& part)
{
    std::string unit;
    while (unit.size() < 64 * 1024)
        unit += part;
    return unit;
}

struct Observed {
    std::string response;
    // The router read more than a response may have.
    bool readEverything = false;
    std::string metrics;
};

// What the caller receives from a target that sends some bytes and then others without end.
Observed observeEndless(Fleet::RequestKind kind, Head makeHead, const std::string& bytes, const std::string& repeated)
{
    TestRouter router;
    ScriptedTarget target([&](const std::string& head, unsigned) { return ScriptedReply { makeHead(head) + bytes, Then::Repeat, repeatedUnit(repeated) }; });
    router.setRoute(kind, 1, false, routeTimeout);
    router.addTarget("1", target);
    Observed observed;
    observed.response = router.exchange("POST");
    observed.readEverything = target.sentAllRepeats();
    observed.metrics = router.metrics();
    return observed;
}

// The target must count as failed, and the caller must see that.
void expectFailure(const Observed& observed)
{
    cr_expect_not(observed.readEverything, "the router reads without a limit");
    cr_expect(contains(observed.metrics, "lavenderloft_attempts_failed_total{end=\"broken\"} 1"), "%s", observed.metrics.c_str());
    bool isRejected = contains(observed.response, "HTTP/1.1 502");
    bool isCut = contains(observed.response, "HTTP/1.1 200") && !observed.response.ends_with(finalChunk);
    cr_expect(isRejected || isCut || observed.response.empty(), "%s", observed.response.substr(0, 200).c_str());
}

} // namespace

// Guards against memory and links that fill up because a target sends a body without end.
Test(EndlessResponse, aBodyWithoutEndIsCutOff)
{
    expectFailure(observeEndless(Fleet::RequestKind::AtMostOnce, sealedUnboundedHead, "", std::string(1, bodyByte)));
}

// Guards against memory that fills up while the router looks for the end of an event.
Test(EndlessResponse, anEventWithoutEndIsCutOff)
{
    expectFailure(observeEndless(Fleet::RequestKind::Stream, sealedUnboundedHead, "id: 1\ndata: ", "x"));
}

// Guards against memory that fills up while the HTTP parser looks for the end of a line between two chunks.
Test(EndlessResponse, aChunkHeaderWithoutEndIsCutOff)
{
    expectFailure(observeEndless(Fleet::RequestKind::AtMostOnce, sealedStreamHead, "1;", "x"));
    expectFailure(observeEndless(Fleet::RequestKind::Stream, sealedStreamHead, "1;", "x"));
}

// Guards against the same after the last chunk, where fields may follow.
Test(EndlessResponse, aTrailerWithoutEndIsCutOff)
{
    expectFailure(observeEndless(Fleet::RequestKind::AtMostOnce, sealedStreamHead, "0\r\n", "A: b\r\n"));
}

// Guards against memory that fills up while the router looks for the end of a head.
Test(EndlessResponse, aHeadWithoutEndIsCutOff)
{
    expectFailure(observeEndless(Fleet::RequestKind::AtMostOnce, noHead, "HTTP/1.1 200 OK\r\n", "A: b\r\n"));
}

// Guards against a wait for a head in bytes that are not HTTP.
Test(EndlessResponse, bytesThatAreNotHttpAreCutOff)
{
    expectFailure(observeEndless(Fleet::RequestKind::AtMostOnce, noHead, "", "x"));
}

// Guards against a request that is held until its deadline by interim responses.
Test(EndlessResponse, interimResponsesWithoutEndAreCutOff)
{
    expectFailure(observeEndless(Fleet::RequestKind::AtMostOnce, noHead, "", "HTTP/1.1 100 Continue\r\n\r\n"));
}

// Guards against a request that is held until its deadline by a response to another request.
Test(EndlessResponse, anotherResponseWithoutEndIsCutOff)
{
    expectFailure(observeEndless(Fleet::RequestKind::AtMostOnce, unboundedHeadOfAnotherRequest, "", "x"));
}

// Guards against a limit in bytes alone: a head that arrives byte by byte must not hold the request beyond its deadline.
Test(EndlessResponse, aSlowHeadEndsAtTheDeadline)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "HTTP/1.1 200 OK\r\nA: ", Then::Repeat, "x", 20ms }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1, false, 300ms);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 504"));
}

// Guards against a body that arrives byte by byte and holds the request beyond its deadline.
Test(EndlessResponse, aSlowBodyEndsAtTheDeadline)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedUnboundedHead(head), Then::Repeat, "x", 20ms }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1, false, 300ms);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 504"));
}

// Guards against a repeatable request that is held until its deadline, although another target is free, by a target whose
// body arrives byte by byte or not at all.
Test(EndlessResponse, aRepeatableRequestWithASlowBodyIsRetried)
{
    for (auto then : { Then::Repeat, Then::Hang }) {
        TestRouter router;
        ScriptedTarget slow([&](const std::string& head, unsigned) { return ScriptedReply { lengthHead(head, longBodyBytes), then, "x", 20ms }; });
        ScriptedTarget other([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "done") }; });
        router.setRoute(Fleet::RequestKind::Idempotent, 2);
        router.addTarget("1", slow);
        boost::asio::io_context context;
        auto socket = router.send(context, "GET", "Connection: close\r\n");
        slow.waitForRequests(1);
        router.addTarget("2", other);
        auto response = TestRouter::readAll(socket);
        cr_expect(response.ends_with("\r\n\r\ndone"), "%s", response.c_str());
    }
}

// Guards against a stream that stalls because a target sends an event byte by byte: another target must continue it.
Test(EndlessResponse, aStreamWithASlowEventIsResumed)
{
    TestRouter router;
    ScriptedTarget slow([](const std::string& head, unsigned) { return ScriptedReply { sealedUnboundedHead(head) + "id: 1\ndata: a\n\nid: 2\ndata: ", Then::Repeat, "x", 20ms }; });
    ScriptedTarget whole([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 2\ndata: b\n\n") + finalChunk }; });
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    router.addTarget("1", slow);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Connection: close\r\n");
    slow.waitForRequests(1);
    router.addTarget("2", whole);
    auto response = TestRouter::readAll(socket);
    cr_assert(contains(response, "id: 1\ndata: a\n\n") && contains(response, "id: 2\ndata: b\n\n") && response.ends_with(finalChunk), "%s", response.c_str());
}

// Guards against a refused request that waits for the rest of the refusal, and is not offered to a target that is free.
Test(EndlessResponse, aRefusalWhoseBodyIsMissingIsRetriedAtOnce)
{
    for (bool isEndless : { false, true }) {
        TestRouter router;
        std::promise<void> otherIsKnown;
        ScriptedTarget full([&](const std::string& head, unsigned) {
            otherIsKnown.get_future().wait();
            auto refusal = "HTTP/1.1 503 X\r\nLavenderloft-Request-Id: " + fieldOf(head, "Lavenderloft-Request-Id") + "\r\nLavenderloft-Not-Executed: 1\r\n";
            if (isEndless)
                return ScriptedReply { refusal + "\r\n", Then::Repeat, repeatedUnit("x") };
            return ScriptedReply { refusal + "Content-Length: 10\r\n\r\n", Then::Hang };
        });
        ScriptedTarget free([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "done") }; });
        router.setRoute(Fleet::RequestKind::AtMostOnce, 1, false, routeTimeout);
        router.addTarget("1", full);
        boost::asio::io_context context;
        auto socket = router.send(context, "POST", "Connection: close\r\n");
        full.waitForRequests(1);
        router.addTarget("2", free);
        otherIsKnown.set_value();
        auto response = TestRouter::readAll(socket);
        cr_expect(response.ends_with("\r\n\r\ndone"), "%s", response.c_str());
        cr_expect_not(full.sentAllRepeats(), "the router reads without a limit");
    }
}

// Guards against a long response being held in memory until it is complete.
Test(EndlessResponse, aLongBodyIsForwardedAsItArrives)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { lengthHead(head, 2 * longBodyBytes) + std::string(longBodyBytes, bodyByte), Then::Hang }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1, false, routeTimeout);
    router.addTarget("1", target);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Connection: close\r\n");
    std::string received(longBodyBytes / 2, ' ');
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::buffer(received), error);
    cr_assert(!error && received.starts_with("HTTP/1.1 200"), "%s", received.substr(0, 200).c_str());
}

// Guards against limits that cut off a long response.
Test(EndlessResponse, aLongBodyIsForwardedWhole)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { lengthHead(head, longBodyBytes) + std::string(longBodyBytes, bodyByte) }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    auto response = router.exchange("POST");
    cr_assert(response.starts_with("HTTP/1.1 200"));
    cr_assert_eq(std::count(response.begin(), response.end(), bodyByte), longBodyBytes);
    cr_assert(response.ends_with(finalChunk) || response.back() == bodyByte);
}

// Guards against two responses that are joined, and against a truncated one that looks complete: a target breaks off a
// response of which the caller already has a part.
Test(EndlessResponse, aLongBodyThatBreaksIsAbortedAndNotRepeated)
{
    TestRouter router;
    std::promise<void> otherIsKnown;
    ScriptedTarget broken([&](const std::string& head, unsigned) {
        otherIsKnown.get_future().wait();
        return ScriptedReply { lengthHead(head, 2 * longBodyBytes) + std::string(longBodyBytes, bodyByte), Then::Close };
    });
    ScriptedTarget other([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "done") }; });
    router.setRoute(Fleet::RequestKind::Idempotent, 2);
    router.addTarget("1", broken);
    boost::asio::io_context context;
    auto socket = router.send(context, "GET", "Connection: close\r\n");
    broken.waitForRequests(1);
    router.addTarget("2", other);
    otherIsKnown.set_value();
    auto response = TestRouter::readAll(socket);
    cr_expect(!contains(response, "done") && !response.ends_with(finalChunk), "%s", response.substr(0, 200).c_str());
    cr_expect_eq(other.requests(), 0);
}

// Guards against a failure that a retry could have avoided: the caller has no part of a short response yet.
Test(EndlessResponse, aShortBodyThatBreaksIsRepeated)
{
    TestRouter router;
    ScriptedTarget broken([](const std::string& head, unsigned) { return ScriptedReply { lengthHead(head, 20000) + std::string(10000, bodyByte), Then::Close }; });
    ScriptedTarget other([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "done") }; });
    router.setRoute(Fleet::RequestKind::Idempotent, 2);
    router.addTarget("1", broken);
    router.addTarget("2", other);
    for (unsigned i = 0; i < 4; ++i) {
        auto response = router.exchange();
        cr_expect(response.ends_with("\r\n\r\ndone"), "%s", response.substr(0, 200).c_str());
    }
}
