#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using Then = ScriptedReply::Then;

namespace {

constexpr auto refusalWithoutId = "HTTP/1.1 503 X\r\nLavenderloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr auto refusalOfAnotherRequest = "HTTP/1.1 503 X\r\nLavenderloft-Request-Id: other\r\nLavenderloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr auto errorWithoutId = "HTTP/1.1 404 X\r\nContent-Length: 5\r\n\r\nstray";
constexpr auto successWithoutId = "HTTP/1.1 200 X\r\nLavenderloft-Response-Seal: x\r\nContent-Length: 5\r\n\r\nstray";

// One event loop, so that the second request uses the connection of the first one.
constexpr unsigned oneEventLoop = 1;

// Sends two requests that may not be repeated over one connection to a target. The target writes a response that belongs
// to no request before its response to the second one, and only then becomes one of two targets. Returns what the caller
// of the second request receives, and fails if the request reached the other target.
std::string responseBehind(const std::string& stray)
{
    TestRouter router(oneEventLoop);
    std::promise<void> otherIsKnown;
    ScriptedTarget target([&](const std::string& head, unsigned number) {
        if (number == 0)
            return ScriptedReply { sealedResponse(head, "first") };
        otherIsKnown.get_future().wait();
        return ScriptedReply { stray + sealedResponse(head, "second") };
    });
    ScriptedTarget other([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "second run") }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "first"));
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Connection: close\r\n");
    target.waitForRequests(2);
    router.addTarget("2", other);
    otherIsKnown.set_value();
    auto response = TestRouter::readAll(socket);
    cr_expect_eq(other.requests(), 0, "the request ran twice");
    cr_assert(contains(router.metrics(), "lavenderloft_target_connections_total 1"), "%s", router.metrics().c_str());
    return response;
}

void expectSecond(const std::string& response)
{
    cr_expect(contains(response, "HTTP/1.1 200") && response.ends_with("\r\n\r\nsecond"), "%s", response.c_str());
}

} // namespace

// Guards against a request that runs twice: its target writes an earlier refusal without an id once more on a connection
// that was kept, and the request is sent to another target while it runs.
Test(StrayResponse, anEarlierRefusalWithoutAnIdIsNotBelieved)
{
    expectSecond(responseBehind(refusalWithoutId));
}

// Guards against the same for a refusal that bears the id of its own request.
Test(StrayResponse, anEarlierRefusalOfAnotherRequestIsNotBelieved)
{
    expectSecond(responseBehind(refusalOfAnotherRequest));
}

// Guards against the error of an earlier request being passed to the caller of a later one.
Test(StrayResponse, anEarlierErrorWithoutAnIdIsNotForwarded)
{
    expectSecond(responseBehind(errorWithoutId));
}

// Guards against the loss of a response because one without an id precedes it.
Test(StrayResponse, anEarlierSuccessWithoutAnIdIsSkipped)
{
    expectSecond(responseBehind(successWithoutId));
}

// Guards against a caller who is told that a running request did not run: a refusal without an id follows a response to
// another request on a connection that is new to the router.
Test(StrayResponse, aRefusalBehindAStrayResponseIsNotBelieved)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) {
        return ScriptedReply { std::string(refusalOfAnotherRequest) + refusalWithoutId + sealedResponse(head, "done") };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    auto response = router.exchange("POST");
    cr_assert(contains(response, "HTTP/1.1 200") && response.ends_with("\r\n\r\ndone"), "%s", response.c_str());
}

// Guards against a refusal without an id that is written once more after the router gave the connection back: the
// connection must not be used again.
Test(StrayResponse, aConnectionIsNotKeptAfterAResponseWithoutAnId)
{
    TestRouter router(oneEventLoop);
    ScriptedTarget target([](const std::string& head, unsigned number) {
        return ScriptedReply { number == 0 ? refusalWithoutId : sealedResponse(head, "done") };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 503"), "a refusal on a new connection belongs to its only request");
    std::string response;
    // The target is not used for a moment after it refused a request.
    while (!contains(response, "done"))
        response = router.exchange("POST");
    cr_assert(contains(router.metrics(), "lavenderloft_target_connections_total 2"), "%s", router.metrics().c_str());
}

// Guards against a refusal that is believed because neither it nor the request has an id.
Test(StrayResponse, aRequestWithoutAnIdUsesANewConnection)
{
    TestRouter router(oneEventLoop);
    ScriptedTarget target([](const std::string& head, unsigned number) {
        return ScriptedReply { number == 0 ? sealedResponse(head, "first") : "HTTP/1.1 400 X\r\nLavenderloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "first"));
    boost::asio::io_context context;
    auto socket = router.sendWithoutId(context, "POST", "Connection: close\r\n");
    auto response = TestRouter::readAll(socket);
    cr_assert(contains(response, "HTTP/1.1 400"), "%s", response.c_str());
    cr_assert(contains(router.metrics(), "lavenderloft_target_connections_total 2"), "%s", router.metrics().c_str());
}

// Guards against an attempt that meets its own earlier refusal, which bears the same id, on a kept connection: a target
// that refused an attempt does not receive it again.
Test(StrayResponse, anAttemptDoesNotReturnToTheTargetThatRefusedIt)
{
    TestRouter router(oneEventLoop);
    ScriptedTarget target([](const std::string& head, unsigned) {
        return ScriptedReply { "HTTP/1.1 503 X\r\nLavenderloft-Request-Id: " + fieldOf(head, "Lavenderloft-Request-Id") + "\r\nLavenderloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 3);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 503"));
    cr_assert_eq(target.requests(), 1);
}
