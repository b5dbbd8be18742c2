#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using namespace std::chrono_literals;

namespace {

// Ends a test whose router does not release what a request held.
constexpr auto hangTimeout = 8s;
// So that the second request waits in the queue.
constexpr auto workTime = 10ms;
// More than the requests of a round read the clock.
constexpr unsigned maximumReadings = 500;

// A number that the event loop of the router reads from its state.
size_t countOnLoop(TestRouter& router, std::function<size_t(ProxyWorker&)> count)
{
    std::promise<size_t> result;
    boost::asio::post(router.eventLoop(), [&] { result.set_value(count(router.worker())); });
    return result.get_future().get();
}

bool holdsNothing(TestRouter& router)
{
    return router.context().openRequests == 0 && router.context().callerMemory.heldBytes() == 0 && router.requestsInDispatch() == 0
        && countOnLoop(router, [](ProxyWorker& worker) { return worker.openRequests.size() + worker.idleCallers.size(); }) == 0;
}

void expectNothingHeld(TestRouter& router, unsigned reading)
{
    auto until = std::chrono::steady_clock::now() + hangTimeout;
    while (!holdsNothing(router) && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(2ms);
    cr_assert(holdsNothing(router), "an exception at reading %u leaves %zu open requests, %zu in the dispatch, %zu bytes of bodies", reading,
        router.context().openRequests.load(), router.requestsInDispatch(), static_cast<size_t>(router.context().callerMemory.heldBytes()));
}

// Two requests for a single slot, at one reading of the clock of which an exception is thrown. Returns whether it was.
bool serveWithException(TestRouter& router, const std::string& headers, unsigned reading)
{
    std::atomic<bool> isThrown { false };
    router.interruptedClock().interruptAtReading(reading, [&] {
        isThrown = true;
        throw std::length_error("thrown by the test");
    });
    auto first = std::async(std::launch::async, [&] { return router.exchange("POST", headers); });
    auto second = std::async(std::launch::async, [&] { return router.exchange("POST", headers); });
    first.wait();
    second.wait();
    expectNothingHeld(router, reading);
    router.interruptedClock().interruptAtReading(0, [] {});
    return isThrown;
}

void throwAtEachReading(Fleet::RequestKind kind, const ScriptedTarget::Script& script)
{
    TestRouter router(1);
    router.setRoute(kind, 2, true);
    ScriptedTarget target(script);
    router.addTargetAt("1", target.port(), 1);
    unsigned thrown = 0;
    unsigned reading = 1;
    while (reading < maximumReadings && serveWithException(router, "Content-Length: 0\r\n", reading)) {
        ++thrown;
        ++reading;
    }
    cr_expect_gt(thrown, 20);
    cr_expect_lt(reading, maximumReadings);
    auto response = router.exchange("GET");
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
}

} // namespace

// Guards against a router that ends by an exception of one request, and against leases, places in the queue, memory and
// pointers of that request that stay behind: the exception is thrown wherever a request reads the clock.
Test(FailedRequest, releasesWhatItHeld)
{
    throwAtEachReading(Fleet::RequestKind::Idempotent, [](const std::string& head, unsigned) {
        std::this_thread::sleep_for(workTime);
        return ScriptedReply { sealedResponse(head, "hello") };
    });
}

// Guards against the same where events of a stream have been forwarded already.
Test(FailedRequest, releasesWhatAStreamHeld)
{
    throwAtEachReading(Fleet::RequestKind::Stream, [](const std::string& head, unsigned) {
        auto reply = ScriptedReply { sealedStreamHead(head) + chunkOf("id: 1\ndata: a\n\n") };
        reply.later = chunkOf("id: 2\ndata: b\n\n") + "0\r\n\r\n";
        reply.pauseBeforeLater = workTime;
        return reply;
    });
}
