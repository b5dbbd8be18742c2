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
