#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Then = ScriptedReply::Then;

namespace {

constexpr auto finalChunk = "0\r\n\r\n";
const std::string firstEvent = "id: 1\ndata: a\n\n";

// Sends a request, ends all requests once it is at the target, and returns the response.
std::string responseAtStop(TestRouter& router, const ScriptedTarget& target, const std::string& method)
{
    boost::asio::io_context context;
    auto socket = router.send(context, method, "");
    target.waitForRequests(1);
    std::this_thread::sleep_for(50ms);
    router.server().endOpenRequests();
    return TestRouter::readAll(socket);
}

// Waits until the buffers of a connection that is not read are full.
void waitUntilNothingArrives(tcp::socket& socket)
{
    constexpr auto quietTime = 500ms;
    size_t arrived = 0;
    do {
        arrived = socket.available();
        std::this_thread::sleep_for(quietTime);
    } while (arrived == 0 || socket.available() != arrived);
}

void waitForOpenRequests(TestRouter& router, size_t count)
{
    while (router.context().openRequests != count)
        std::this_thread::sleep_for(5ms);
}

} // namespace

// Guards against requests that are cut without a response at the end of the grace period, though no target has them.
Test(PlannedStop, aWaitingRequestIsRefused)
{
    TestRouter router;
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    router.addTargetAt("1", target.port(), 1);
    boost::asio::io_context context;
    auto first = router.send(context, "POST", "");
    auto second = router.send(context, "POST", "");
    target.waitForRequests(2);
    auto waiting = router.send(context, "POST", "");
    waitForOpenRequests(router, 3);
    std::this_thread::sleep_for(50ms);
    router.server().endOpenRequests();
    auto response = TestRouter::readAll(waiting);
    cr_expect(response.starts_with("HTTP/1.1 503"), "%s", response.c_str());
    cr_expect(contains(response, "Retry-After"), "%s", response.c_str());
    waitForOpenRequests(router, 0);
    cr_expect_eq(target.requests(), 2);
}

// Guards against requests that are cut without a response at the end of the grace period, and against a caller that is told
// that its request did not run.
Test(PlannedStop, aRequestAtATargetGetsAFinalResponse)
{
    for (auto kind : { Fleet::RequestKind::AtMostOnce, Fleet::RequestKind::Idempotent, Fleet::RequestKind::Stream }) {
        TestRouter router;
        router.setRoute(kind, 2, true);
        ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
        router.addTarget("1", target);
        auto response = responseAtStop(router, target, "POST");
        cr_expect(response.starts_with("HTTP/1.1 504"), "%s", response.c_str());
        target.waitForHangEnd();
        waitForOpenRequests(router, 0);
    }
}

// Guards against a stream that looks complete although the process stopped in it.
Test(PlannedStop, aStreamThatHasBegunIsVisiblyBroken)
{
    TestRouter router;
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head) + chunkOf(firstEvent), Then::Hang }; });
    router.addTarget("1", target);
    auto response = responseAtStop(router, target, "POST");
    cr_expect(contains(response, firstEvent), "%s", response.c_str());
    cr_expect_not(response.ends_with(finalChunk), "%s", response.c_str());
    cr_expect_eq(response.find("HTTP/1.1"), response.rfind("HTTP/1.1"));
    waitForOpenRequests(router, 0);
}

// Guards against a process that ends with requests of callers that do not read, of which nothing is logged.
Test(PlannedStop, aResponseThatIsNotReadIsCut)
{
    TestRouter router;
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, std::string(15 * 1024 * 1024, 'x')) }; });
    router.addTarget("1", target);
    boost::asio::io_context context;
    auto socket = router.send(context, "GET", "");
    waitUntilNothingArrives(socket);
    router.server().endOpenRequests();
    std::this_thread::sleep_for(50ms);
    cr_expect_eq(router.context().openRequests.load(), 1);
    router.server().cutOpenRequests();
    waitForOpenRequests(router, 0);
    cr_expect(contains(router.metrics(), "cut_at_stop"));
}

// Guards against a draining router that closes a connection which it has just accepted, as the first request arrives.
Test(PlannedStop, aNewConnectionIsNotClosedAsIdle)
{
    TestRouter router;
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "ok") }; });
    router.addTarget("1", target);
    router.context().draining = true;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), router.server().port() });
    std::this_thread::sleep_for(30ms);
    router.server().closeIdleConnections();
    std::this_thread::sleep_for(30ms);
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(std::string("POST /p HTTP/1.1\r\nHost: h\r\nLavenderloft-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n")), ignored);
    auto response = TestRouter::readAll(socket);
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
}

// Guards against connections that remain open after the balancer has turned to other nodes, so that callers use them until
// the process ends.
Test(PlannedStop, aConnectionThatHasBeenIdleIsClosed)
{
    TestRouter router;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), router.server().port() });
    std::this_thread::sleep_for(700ms);
    router.server().closeIdleConnections();
    cr_expect_eq(TestRouter::readAll(socket), "");
}

// Guards against a request that has arrived and is dropped with its connection, because the connection is closed as idle
// before an event loop that was held up has read it.
Test(PlannedStop, aRequestThatWasNotReadYetIsServed)
{
    TestRouter router(1);
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "ok") }; });
    router.addTarget("1", target);
    router.context().draining = true;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), router.server().port() });
    std::this_thread::sleep_for(700ms);
    boost::asio::post(router.eventLoop(), [] { std::this_thread::sleep_for(300ms); });
    std::this_thread::sleep_for(100ms);
    boost::asio::write(socket, boost::asio::buffer(std::string("POST /p HTTP/1.1\r\nHost: h\r\nLavenderloft-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n")));
    router.server().closeIdleConnections();
    auto response = TestRouter::readAll(socket);
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
}

// Guards against a process that ends while a request arrives, because no request is open.
Test(PlannedStop, aRequestThatArrivesIsOpen)
{
    TestRouter router;
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), router.server().port() });
    boost::asio::write(socket, boost::asio::buffer(std::string("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")));
    waitForOpenRequests(router, 1);
    boost::asio::write(socket, boost::asio::buffer(std::string("b")));
    waitForOpenRequests(router, 0);
}

// Guards against the use of an attempt that a stop has abandoned: the request waited for it, because its first target had
// broken off.
Test(PlannedStop, aRequestThatAwaitsItsReplacementEnds)
{
    TestRouter router;
    router.expectedPause = 100ms;
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    ScriptedTarget second([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head), Then::Hang }; });
    ScriptedTarget first([&](const std::string& head, unsigned) {
        ScriptedReply reply { sealedStreamHead(head) + chunkOf(firstEvent), Then::Reset };
        reply.later = "x";
        reply.waitBeforeLater = [&] { second.waitForRequests(1); };
        return reply;
    });
    router.addTarget("1", first);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "");
    first.waitForRequests(1);
    router.addTarget("2", second);
    second.waitForRequests(1);
    std::this_thread::sleep_for(500ms);
    router.server().endOpenRequests();
    auto response = TestRouter::readAll(socket);
    cr_expect(contains(response, firstEvent), "%s", response.c_str());
    cr_expect_not(response.ends_with(finalChunk), "%s", response.c_str());
    waitForOpenRequests(router, 0);
    second.waitForHangEnd();
}
