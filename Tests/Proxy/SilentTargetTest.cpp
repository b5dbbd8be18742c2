#include "Dispatch/Queries/FindSilenceLimits.h"
#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using namespace std::chrono_literals;
using Then = ScriptedReply::Then;

namespace {

constexpr auto finalChunk = "0\r\n\r\n";
// Longer than the limit after which another target is looked for, which is one second for these routes.
constexpr std::chrono::milliseconds longSilence = 1700ms;
const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";

std::string endingWith(const std::string& events)
{
    return chunkOf(events) + finalChunk;
}

// Sends an event, and the rest of the stream after a long silence.
ScriptedReply silentStream(const std::string& head)
{
    ScriptedReply reply { sealedStreamHead(head) + chunkOf(firstEvent) };
    reply.later = endingWith(secondEvent + lastEvent);
    reply.pauseBeforeLater = longSilence;
    return reply;
}

// As above; the rest comes some time after the other target has the request too.
ScriptedReply silentStreamUntil(const std::string& head, const ScriptedTarget& other, std::chrono::milliseconds pause)
{
    auto reply = silentStream(head);
    reply.waitBeforeLater = [&other] { other.waitForRequests(1); };
    reply.pauseBeforeLater = pause;
    return reply;
}

// Goes on with the events after the one that the request names.
ScriptedReply resumedStream(const std::string& head)
{
    auto events = fieldOf(head, "Last-Event-Id") == "1" ? secondEvent + lastEvent : firstEvent + secondEvent + lastEvent;
    return { sealedStreamHead(head) + endingWith(events) };
}

struct SilentStream {
    SilentStream(unsigned maximumAttempts, bool resumable = true)
    {
        router.expectedPause = 100ms;
        router.setRoute(Fleet::RequestKind::Stream, maximumAttempts, resumable);
    }

    // Sends a request to the first target, publishes the second one once it is there, and returns the whole response.
    std::string responseWith(ScriptedTarget& first, ScriptedTarget& second)
    {
        router.addTarget("1", first);
        boost::asio::io_context context;
        auto socket = router.send(context, "POST", "Connection: close\r\n");
        first.waitForRequests(1);
        router.addTarget("2", second);
        return TestRouter::readAll(socket);
    }

    TestRouter router;
};

unsigned occurrences(const std::string& text, const std::string& part)
{
    unsigned count = 0;
    for (auto position = text.find(part); position != std::string::npos; position = text.find(part, position + 1))
        ++count;
    return count;
}

void expectWholeStream(const std::string& response)
{
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
    for (auto& event : { firstEvent, secondEvent, lastEvent })
        cr_expect_eq(occurrences(response, event), 1, "%s", response.c_str());
    cr_expect(response.ends_with(finalChunk), "%s", response.c_str());
}

} // namespace

// Guards against a stream that is cut because its target was silent, though the route allows no other run.
Test(SilentTarget, theLastAllowedRunIsAwaited)
{
    for (bool resumable : { false, true }) {
        SilentStream test(1, resumable);
        ScriptedTarget target([](const std::string& head, unsigned) { return silentStream(head); });
        test.router.addTarget("1", target);
        expectWholeStream(test.router.exchange("POST"));
    }
}

// Guards against a stream that is cut because its target was silent, before another target was found.
Test(SilentTarget, aStreamGoesOnIfThereIsNoOtherTarget)
{
    SilentStream test(2);
    ScriptedTarget target([](const std::string& head, unsigned) { return silentStream(head); });
    test.router.addTarget("1", target);
    expectWholeStream(test.router.exchange("POST"));
    cr_expect_eq(target.requests(), 1);
}

// Guards against a stream that is cut because the target that was to continue it refused to, failed or broke off.
Test(SilentTarget, aStreamGoesOnIfTheReplacementFails)
{
    std::vector<ScriptedTarget::Script> failures {
        [](const std::string& head, unsigned) {
            auto refusal = sealedResponse(head, "", 503);
            return ScriptedReply { refusal.insert(refusal.find("\r\n") + 2, "Lavenderloft-Not-Executed: 1\r\n") };
        },
        [](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "no", 500) }; },
        [](const std::string&, unsigned) { return ScriptedReply { "", Then::Reset }; },
        [](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head), Then::Reset }; },
        [](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head) + endingWith("data: no id\n\n") }; },
    };
    for (auto& failure : failures) {
        SilentStream test(2);
        ScriptedTarget second(failure);
        ScriptedTarget first([&](const std::string& head, unsigned) { return silentStreamUntil(head, second, 300ms); });
        expectWholeStream(test.responseWith(first, second));
        cr_expect_geq(second.requests(), 1);
    }
}

// Guards against a stream that waits for its deadline although another target could continue it.
Test(SilentTarget, aStreamContinuesAtAnotherTarget)
{
    SilentStream test(2);
    ScriptedTarget first([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head) + chunkOf(firstEvent), Then::Hang }; });
    ScriptedTarget second([](const std::string& head, unsigned) { return resumedStream(head); });
    expectWholeStream(test.responseWith(first, second));
    first.waitForHangEnd();
}

// Guards against events of two runs in one stream, if the silent target goes on before the other one has responded.
Test(SilentTarget, theTargetThatRespondsFirstContinues)
{
    SilentStream test(2);
    ScriptedTarget second([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head), Then::Hang }; });
    ScriptedTarget first([&](const std::string& head, unsigned) { return silentStreamUntil(head, second, 300ms); });
    expectWholeStream(test.responseWith(first, second));
    second.waitForHangEnd();
}

// Guards against a stream that ends with the silent target, although another one already has it.
Test(SilentTarget, aReplacementOutlivesTheFirstTarget)
{
    SilentStream test(2);
    ScriptedTarget second([](const std::string& head, unsigned) {
        ScriptedReply reply { sealedStreamHead(head) };
        reply.later = endingWith(secondEvent + lastEvent);
        reply.pauseBeforeLater = 800ms;
        return reply;
    });
    ScriptedTarget first([&](const std::string& head, unsigned) {
        auto reply = silentStreamUntil(head, second, 200ms);
        reply.later = "x";
        reply.then = Then::Reset;
        return reply;
    });
    expectWholeStream(test.responseWith(first, second));
}

// Guards against a request that fails because its target was slow to respond, before another target was found.
Test(SilentTarget, aSlowResponseIsAwaited)
{
    TestRouter router;
    router.expectedPause = 100ms;
    router.setRoute(Fleet::RequestKind::Idempotent, 2);
    ScriptedTarget target([](const std::string& head, unsigned) {
        ScriptedReply reply;
        reply.later = sealedResponse(head, "late");
        reply.pauseBeforeLater = longSilence;
        return reply;
    });
    router.addTarget("1", target);
    auto response = router.exchange();
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
    cr_expect(response.ends_with("late"), "%s", response.c_str());
}

// Guards against a service that is given up because all of its targets are slower than its routes expect.
Test(SilentTarget, aServiceThatIsSlowAsAWholeIsServed)
{
    constexpr unsigned callers = 8;
    constexpr unsigned requestsOfCaller = 3;
    SilentStream test(2);
    auto respondLate = [](const std::string& head, unsigned) {
        ScriptedReply reply;
        reply.later = sealedStreamHead(head) + endingWith(firstEvent + secondEvent + lastEvent);
        reply.pauseBeforeLater = 1400ms;
        return reply;
    };
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    for (unsigned i = 0; i < 3; ++i) {
        targets.push_back(std::make_unique<ScriptedTarget>(respondLate));
        test.router.addTargetAt(std::to_string(i), targets.back()->port(), 2 * callers);
    }
    std::vector<std::future<unsigned>> served;
    for (unsigned i = 0; i < callers; ++i) {
        served.push_back(std::async(std::launch::async, [&] {
            unsigned whole = 0;
            for (unsigned request = 0; request < requestsOfCaller; ++request) {
                boost::asio::io_context context;
                auto socket = test.router.send(context, "POST", "Connection: close\r\n");
                whole += TestRouter::readAll(socket).ends_with(finalChunk);
            }
            return whole;
        }));
    }
    unsigned total = 0;
    for (auto& caller : served)
        total += caller.get();
    cr_expect_eq(total, callers * requestsOfCaller);
}

// Guards against a request that waits for its deadline because its first two targets are lost, although its route allows a
// third run and a sound target is there.
Test(SilentTarget, aThirdTargetIsTriedIfTwoAreLost)
{
    TestRouter router;
    router.expectedPause = 100ms;
    router.setRoute(Fleet::RequestKind::Idempotent, 3, false, 6s);
    ScriptedTarget first([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    ScriptedTarget second([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    ScriptedTarget third([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "sound") }; });
    router.addTarget("1", first);
    boost::asio::io_context context;
    auto socket = router.send(context, "GET", "Connection: close\r\n");
    first.waitForRequests(1);
    router.addTarget("2", second);
    second.waitForRequests(1);
    router.addTarget("3", third);
    auto response = TestRouter::readAll(socket);
    cr_expect(response.ends_with("sound"), "%s", response.c_str());
}

// Guards against a failure in place of a target's response that is no success, because the first target is lost.
Test(SilentTarget, aResponseOfTheReplacementThatIsNoSuccessIsForwarded)
{
    for (auto kind : { Fleet::RequestKind::Idempotent, Fleet::RequestKind::Stream }) {
        TestRouter router;
        router.expectedPause = 100ms;
        router.setRoute(kind, 2, true, 4s);
        ScriptedTarget first([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
        ScriptedTarget second([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "none", 404) }; });
        router.addTarget("1", first);
        boost::asio::io_context context;
        auto socket = router.send(context, "GET", "Connection: close\r\n");
        first.waitForRequests(1);
        router.addTarget("2", second);
        auto response = TestRouter::readAll(socket);
        cr_expect(response.starts_with("HTTP/1.1 404"), "%s", response.c_str());
        cr_expect(response.ends_with("none"), "%s", response.c_str());
    }
}

// Guards against targets that go on working after the caller has left, at the silent attempt and at its replacement.
Test(SilentTarget, bothAttemptsEndWhenTheCallerLeaves)
{
    for (bool hasBegun : { false, true }) {
        SilentStream test(2);
        auto hang = [=](const std::string& head, unsigned) {
            return ScriptedReply { hasBegun ? sealedStreamHead(head) : "", Then::Hang };
        };
        ScriptedTarget first(hang);
        ScriptedTarget second(hang);
        test.router.addTarget("1", first);
        {
            boost::asio::io_context context;
            auto socket = test.router.send(context, "POST", "");
            first.waitForRequests(1);
            test.router.addTarget("2", second);
            second.waitForRequests(1);
        }
        auto leftAt = std::chrono::steady_clock::now();
        first.waitForHangEnd();
        second.waitForHangEnd();
        cr_expect_lt((std::chrono::steady_clock::now() - leftAt).count(), std::chrono::steady_clock::duration(500ms).count());
        // The slots of both targets are free again.
        auto requestsInFlight = [&] {
            return test.router.context().dispatch.withService("s", [](auto& service) { return service.targets["1"].inFlight + service.targets["2"].inFlight; });
        };
        while ((requestsInFlight() > 0 || test.router.context().openRequests > 0) && std::chrono::steady_clock::now() - leftAt < 2s)
            std::this_thread::sleep_for(1ms);
        cr_expect_eq(requestsInFlight(), 0);
        cr_expect_eq(test.router.context().openRequests, 0);
    }
}

// Guards against a lost target that gets requests without end, because it was silent only as a replacement.
Test(SilentTarget, aLostReplacementCountsAsSilent)
{
    SilentStream test(2);
    ScriptedTarget first([](const std::string& head, unsigned) {
        auto reply = silentStream(head);
        reply.pauseBeforeLater = 2800ms;
        return reply;
    });
    ScriptedTarget second([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    expectWholeStream(test.responseWith(first, second));
    cr_expect_eq(second.requests(), 1);
    test.router.context().dispatch.withService("s", [](auto& service) { cr_expect_eq(service.targets["2"].consecutiveSilences, 1); });
}

// Guards against use of the dispatch state after its end, when a router stops with requests in progress.
Test(SilentTarget, aRouterMayEndWithBothAttemptsInProgress)
{
    boost::asio::io_context context;
    ScriptedTarget first([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    ScriptedTarget second([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    SilentStream test(2);
    test.router.addTarget("1", first);
    auto socket = test.router.send(context, "POST", "");
    first.waitForRequests(1);
    test.router.addTarget("2", second);
    second.waitForRequests(1);
}

// Guards against silence limits that grow because callers read slowly.
Test(SilentTarget, theTimeOfASlowCallerIsNoPauseOfItsTarget)
{
    // More than the buffers of both connections hold.
    constexpr unsigned events = 300;
    SilentStream test(2);
    ScriptedTarget target([](const std::string& head, unsigned) {
        std::string all;
        for (unsigned i = 1; i <= events; ++i)
            all += chunkOf("id: " + std::to_string(i) + "\ndata: " + std::string(50000, 'x') + "\n\n");
        return ScriptedReply { sealedStreamHead(head) + all + finalChunk };
    });
    test.router.addTargetAt("1", target.port(), 8);
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (unsigned i = 0; i < 5; ++i)
        callers.push_back(test.router.send(context, "POST", "Connection: close\r\n"));
    std::this_thread::sleep_for(1500ms);
    for (auto& caller : callers)
        cr_expect(TestRouter::readAll(caller).ends_with(finalChunk));
    Dispatch::RequestTraits traits;
    traits.service = "s";
    auto route = std::make_shared<Fleet::Route>();
    traits.route = route;
    auto limits = Dispatch::Queries::findSilenceLimits(test.router.context().dispatch, traits, test.router.clock().now());
    cr_expect_leq(std::chrono::duration_cast<std::chrono::milliseconds>(limits.betweenParts).count(), 1000);
}
