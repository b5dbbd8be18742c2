#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <malloc.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr size_t bodyBytes = 4'000'000;

// Of this process, without what the kernel holds.
size_t allocatedBytes()
{
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// A target that accepts connections and reads nothing.
struct SilentTarget {
    tcp::acceptor acceptor;
    std::vector<tcp::socket> connections;

    explicit SilentTarget(boost::asio::io_context& context)
        : acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
    }

    uint16_t port() const { return acceptor.local_endpoint().port(); }
    void acceptConnection() { connections.push_back(acceptor.accept()); }
};

std::string contentLength(size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n"; }

std::string chunkHead(size_t bytes)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    return size;
}

} // namespace

// Guards against a router that exceeds its memory, and ends with all requests in it, because it holds several copies of
// each large body while slow targets read them.
Test(LargeBody, isHeldOnce)
{
    constexpr unsigned requests = 8;
    TestRouter router;
    boost::asio::io_context context;
    SilentTarget target(context);
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    router.addTargetAt("1", target.port(), requests);
    std::string body(bodyBytes, 'b');
    auto before = allocatedBytes();
    std::vector<tcp::socket> callers;
    for (unsigned i = 0; i < requests; ++i) {
        callers.push_back(router.send(context, "POST", contentLength(body.size())));
        boost::asio::write(callers.back(), boost::asio::buffer(body));
        target.acceptConnection();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto held = allocatedBytes() - before;
    cr_assert_geq(held, requests * bodyBytes);
    cr_assert_lt(held, requests * bodyBytes * 3 / 2, "%zu bytes for bodies of %zu", held, requests * bodyBytes);
    cr_assert_eq(router.context().callerMemory.heldBytes(), requests * bodyBytes);
}

// Guards against the same end by more bodies than there is memory for. A body that does not fit is refused before it is
// read, and requests with small bodies are served meanwhile.
Test(LargeBody, isRefusedIfThereIsNoMemoryForIt)
{
    TestRouter router(2, 2 * bodyBytes);
    boost::asio::io_context context;
    SilentTarget slow(context);
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    router.addTargetAt("slow", slow.port());
    std::string body(bodyBytes, 'b');
    auto first = router.send(context, "POST", contentLength(body.size()));
    boost::asio::write(first, boost::asio::buffer(body));
    slow.acceptConnection();
    auto second = router.send(context, "POST", contentLength(body.size()));
    boost::asio::write(second, boost::asio::buffer(body));
    slow.acceptConnection();
    router.removeTarget("slow");
    ScriptedTarget fast([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "hello") }; });
    router.addTarget("fast", fast);
    auto third = router.send(context, "POST", contentLength(body.size()));
    boost::asio::write(third, boost::asio::buffer(body));
    auto response = TestRouter::readAll(third);
    cr_assert(contains(response, "HTTP/1.1 503") && contains(response, "Retry-After") && contains(response, "body_memory"), "%s", response.c_str());
    cr_assert_eq(fast.requests(), 0);
    cr_assert(contains(router.exchange("GET"), "hello"));
    first.close();
    while (router.context().callerMemory.heldBytes() > bodyBytes)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    auto fourth = router.send(context, "POST", contentLength(body.size()) + "Connection: close\r\n");
    boost::asio::write(fourth, boost::asio::buffer(body));
    cr_assert_not(contains(TestRouter::readAll(fourth), "body_memory"), "the memory of a request that has ended is free again");
}

// Guards against a limit that a body in chunks evades because its length is not announced.
Test(LargeBody, inChunksIsRefusedOnceItExceedsTheMemory)
{
    TestRouter router(2, bodyBytes / 2);
    boost::asio::io_context context;
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "hello") }; });
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    router.addTarget("1", target);
    auto caller = router.send(context, "POST", "Transfer-Encoding: chunked\r\n");
    boost::asio::write(caller, boost::asio::buffer(chunkHead(bodyBytes) + std::string(bodyBytes, 'b') + "\r\n0\r\n\r\n"));
    auto response = TestRouter::readAll(caller);
    cr_assert(contains(response, "HTTP/1.1 503") && contains(response, "body_memory"), "%s", response.c_str());
    cr_assert_eq(target.requests(), 0);
    while (router.context().callerMemory.heldBytes() > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

// Guards against a buffer that grew for one request and takes memory from others for as long as its connection is open.
Test(LargeBody, leavesNoLargeBuffer)
{
    TestRouter router(1);
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "hello") }; });
    router.addTarget("1", target);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Transfer-Encoding: chunked\r\n");
    boost::asio::write(socket, boost::asio::buffer("1;" + std::string(60000, 'e')));
    while (router.context().callerMemory.heldBytes() == 0)
        std::this_thread::sleep_for(5ms);
    boost::asio::write(socket, boost::asio::buffer(std::string("\r\nx\r\n0\r\n\r\n")));
    while (router.context().callerMemory.heldBytes() > 0)
        std::this_thread::sleep_for(5ms);
    cr_assert(socket.is_open());
}

// Guards against a request inside the limits of the operator that is rejected for good by a router which has just started and
// doesn't know them yet.
Test(LargeBody, isNotRejectedForGoodWithoutAConfiguration)
{
    TestRouter router(1);
    const std::string largeHead = "X-Note: " + std::string(64 * 1024, 'n') + "\r\n";
    auto response = router.exchange("GET", largeHead);
    cr_expect(response.starts_with("HTTP/1.1 503") && contains(response, "Retry-After") && contains(response, "no_configuration"), "%s", response.c_str());
    response = router.exchange("POST", "Content-Length: 1000000000\r\n");
    cr_expect(response.starts_with("HTTP/1.1 503") && contains(response, "no_configuration"), "%s", response.c_str());
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    response = router.exchange("GET", largeHead);
    cr_expect(response.starts_with("HTTP/1.1 431"), "%s", response.c_str());
}
