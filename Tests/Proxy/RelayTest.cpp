#include "Dispatch/Commands/RecordCrash.h"
#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using Then = ScriptedReply::Then;

namespace {

ScriptedTarget::Script respondsWith(const std::string& body)
{
    return [body](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, body) }; };
}

const std::string notExecuted = "HTTP/1.1 503 X\r\nLavenderloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// The response must be forwarded unchanged, with the instance and the deadline set in the request to the target.
Test(Relay, forwardsAResponseUnchanged)
{
    TestRouter router;
    ScriptedTarget target(respondsWith("hello"));
    router.setRoute(Fleet::RequestKind::Idempotent, 2);
    router.addTarget("1", target);
    auto response = router.exchange();
    cr_assert(contains(response, "HTTP/1.1 200") && contains(response, "Lavenderloft-Response-Seal: seal") && response.ends_with("\r\n\r\nhello"));
    auto head = target.heads().front();
    cr_assert_eq(fieldOf(head, "Lavenderloft-Expect-Instance"), "1");
    cr_assert_leq(std::stoi(fieldOf(head, "Lavenderloft-Deadline-Ms")), TestRouter::callerDeadline.count());
}

// A node without a configuration does not know which requests are allowed, so it must not deny any.
Test(Relay, responds503WithoutAConfiguration)
{
    TestRouter router;
    auto response = router.exchange();
    cr_assert(contains(response, "HTTP/1.1 503") && contains(response, "Retry-After"));
    router.setRoute(Fleet::RequestKind::Idempotent, 2);
    cr_assert(contains(router.exchange("GET", "", "other"), "HTTP/1.1 404"));
}

// A router that has not heard from the store for longer than a configuration may take to be in force must not deny what
// a newer configuration may allow: it had been restarted, or its store follower was cut off, while routes were added.
Test(Relay, refusesWhatItsConfigurationDoesNotAllowWhileANewerOneMayBeInForce)
{
    TestRouter router;
    router.publishRoute(Fleet::RequestKind::Idempotent, 2);
    auto withoutContact = router.exchange("GET", "", "other");
    cr_assert(contains(withoutContact, "HTTP/1.1 503") && contains(withoutContact, "Retry-After"), "%s", withoutContact.c_str());
    router.recordContactWithStore(router.clock().now() - std::chrono::seconds(3));
    cr_assert(contains(router.exchange("GET", "", "other"), "HTTP/1.1 503"));
    router.recordContactWithStore(router.clock().now() + std::chrono::hours(1));
    cr_assert(contains(router.exchange("GET", "", "other"), "HTTP/1.1 404"));
}

// Guards against a request that is denied by an outdated configuration because a newer one came into force while it was
// handled: the router had read its configuration before, and up to when its items were complete afterwards.
Test(Relay, deniesNothingByAConfigurationThatIsReplacedMeanwhile)
{
    constexpr unsigned readings = 12;
    for (unsigned reading = 1; reading <= readings; ++reading) {
        TestRouter router;
        router.publishNoRoutes();
        router.interruptedClock().interruptAtReading(reading, [&] { router.setRoute(Fleet::RequestKind::Idempotent, 1); });
        auto response = router.exchange();
        cr_expect_not(contains(response, "HTTP/1.1 404"), "replaced at reading %u of the clock", reading);
    }
}

// An at-most-once request must not run twice after the connection to its target broke.
Test(Relay, doesNotRetryAnAtMostOnceRequest)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Reset }; });
    ScriptedTarget other(respondsWith("second run"));
    router.setRoute(Fleet::RequestKind::AtMostOnce, 3);
    router.addTarget("1", target);
    auto response = router.exchange("POST");
    cr_assert(contains(response, "HTTP/1.1 502"), "%s", response.c_str());
    router.addTarget("2", other);
    cr_assert_eq(target.requests() + other.requests(), 1);
}

// A 503 of the target itself does not mean that the request did not run, so it must not reach the caller as such.
Test(Relay, doesNotForwardAStatusThatWronglyImpliesNotExecuted)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "", 503) }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 502"));
}

// A request that did not run must be sent to another target that can run it.
Test(Relay, retriesARequestThatDidNotRun)
{
    TestRouter router;
    ScriptedTarget full([](const std::string&, unsigned) { return ScriptedReply { notExecuted }; });
    ScriptedTarget free(respondsWith("done"));
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", full);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 503"), "nothing ran");
    router.addTarget("2", free);
    cr_assert(contains(router.exchange("POST"), "done"));
}

// A late response to an earlier request on a reused connection must not reach the next caller.
Test(Relay, skipsAResponseToAnotherRequest)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) {
        return ScriptedReply { "HTTP/1.1 200 X\r\nLavenderloft-Request-Id: other\r\nLavenderloft-Response-Seal: x\r\nContent-Length: 5\r\n\r\nwrong" + sealedResponse(head, "right") };
    });
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    router.addTarget("1", target);
    auto response = router.exchange();
    cr_assert(contains(response, "right") && !contains(response, "wrong"));
}

// Extra bytes after a response must not be taken for the next response.
Test(Relay, doesNotReuseAConnectionWithExtraBytes)
{
    TestRouter router(1);
    ScriptedTarget target([](const std::string& head, unsigned number) {
        return ScriptedReply { sealedResponse(head, "body" + std::to_string(number)) + (number == 0 ? "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx" : "") };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "body0"));
    cr_assert(contains(router.exchange("POST"), "body1"));
    cr_assert(contains(router.metrics(), "lavenderloft_target_connections_total 2"));
}

// A success without a seal does not come from the target.
Test(Relay, doesNotForwardASuccessWithoutASeal)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) {
        return ScriptedReply { "HTTP/1.1 200 X\r\nLavenderloft-Request-Id: " + fieldOf(head, "Lavenderloft-Request-Id") + "\r\nContent-Length: 4\r\n\r\nfake" };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    auto response = router.exchange("POST");
    cr_assert(contains(response, "HTTP/1.1 502") && !contains(response, "fake"));
}

// A truncated response must not look complete to the caller.
Test(Relay, doesNotCompleteATruncatedResponse)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) {
        auto response = sealedResponse(head, "hello");
        return ScriptedReply { response.substr(0, response.size() - 2), Then::Close };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 502"));
}

// No event may be lost or duplicated when the connection to the target breaks in the middle of an event.
Test(Relay, aResumableStreamContinuesAtTheExactEvent)
{
    TestRouter router;
    std::promise<void> otherIsKnown;
    ScriptedTarget broken([&](const std::string& head, unsigned) {
        otherIsKnown.get_future().wait();
        return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), Then::Close };
    });
    ScriptedTarget whole([](const std::string& head, unsigned) {
        // Also sends an event that the caller already has.
        return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") + "0\r\n\r\n" };
    });
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    router.addTarget("1", broken);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Connection: close\r\n");
    // The second target is added only after the first has been chosen.
    broken.waitForRequests(1);
    router.addTarget("2", whole);
    otherIsKnown.set_value();
    auto response = TestRouter::readAll(socket);
    cr_assert_eq(fieldOf(whole.heads().front(), "Last-Event-Id"), "2");
    cr_assert(response.ends_with("0\r\n\r\n"));
    for (auto* event : { "data: a", "data: b", "data: c" })
        cr_expect(contains(response, event), "%s is missing", event);
    cr_assert_eq(response.find("data: b"), response.rfind("data: b"));
}

// A caller must not take a broken stream for a complete one.
Test(Relay, aStreamThatCannotBeResumedIsAborted)
{
    TestRouter router;
    ScriptedTarget broken([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 1\n\n"), Then::Close }; });
    router.setRoute(Fleet::RequestKind::Stream, 2);
    router.addTarget("1", broken);
    auto response = router.exchange("POST");
    cr_assert(contains(response, "id: 1") && !response.ends_with("0\r\n\r\n"));
    cr_assert_eq(broken.requests(), 1);
}

// A target must not continue with a request after its caller has disconnected.
Test(Relay, cancelsTheRequestOfADisconnectedCaller)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    router.setRoute(Fleet::RequestKind::Stream, 1);
    router.addTarget("1", target);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "");
    target.waitForRequests(1);
    socket.close();
    // Returns only when the router closes its connection to the target.
    target.waitForHangEnd();
    cr_assert_eq(target.requests(), 1);
}

// Guards against a healthy target that is not used for a while because callers of long requests left.
Test(Relay, aCallerThatLeavesIsNoFailureOfItsTarget)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    router.addTarget("1", target);
    boost::asio::io_context context;
    for (unsigned requests = 1; requests <= 2; ++requests) {
        auto socket = router.send(context, "GET", "");
        target.waitForRequests(requests);
        socket.close();
    }
    auto abandoned = "lavenderloft_requests_total{outcome=\"request-abandoned\",reason=\"caller_left\"} 2";
    while (!contains(router.metrics(), abandoned))
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    auto failures = router.context().dispatch.withService("s", [](auto& service) { return service.targets["1"].consecutiveFailures; });
    cr_assert_eq(failures, 0);
}

// A request must not be held beyond the timeout of its route.
Test(Relay, respondsAtTheTimeoutOfTheRoute)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1, false, std::chrono::milliseconds(100));
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 504"));
}

// A process must not accept requests shortly before it exits.
Test(Relay, refusesRequestsWhileClosing)
{
    TestRouter router;
    ScriptedTarget target(respondsWith("late"));
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    router.context().draining = true;
    router.context().closing = true;
    auto response = router.exchange("POST");
    cr_assert(contains(response, "HTTP/1.1 503") && contains(response, "Connection: close") && contains(response, "Retry-After"));
    cr_assert_eq(target.requests(), 0);
}

// A request that crashed three targets must not reach a fourth when its caller resends it.
Test(Relay, quarantinesARequestThatCrashedThreeTargets)
{
    TestRouter router;
    auto crash = [](const std::string&, unsigned) { return ScriptedReply { "", Then::Reset }; };
    ScriptedTarget first(crash);
    ScriptedTarget second(crash);
    ScriptedTarget third(crash);
    router.setRoute(Fleet::RequestKind::Idempotent, 3);
    router.addTarget("1", first);
    router.addTarget("2", second);
    router.addTarget("3", third);
    cr_assert(contains(router.exchange(), "HTTP/1.1 502"));
    cr_assert_eq(first.requests() + second.requests() + third.requests(), 3, "requests: %u, %u and %u; %s", first.requests(), second.requests(), third.requests(), router.metrics().c_str());
    for (auto id : { "1", "2", "3" })
        router.removeTarget(id);
    Dispatch::Commands::confirmCrashes(router.context().dispatch, Base::SystemClock().now());
    ScriptedTarget fourth(respondsWith("done"));
    router.addTarget("4", fourth);
    auto refused = router.exchange();
    cr_assert(contains(refused, "HTTP/1.1 503") && contains(refused, "Retry-After") && contains(refused, "quarantined"), "%s", refused.c_str());
    cr_assert_eq(fourth.requests(), 0);
    cr_assert(contains(router.exchange("OPTIONS"), "done"), "another request is served");
}

// Requests that share one part of their prompt crash one target after the other, although no two are alike. Guards against
// further ones reaching targets, and against refusing requests that share the other parts.
Test(Relay, refusesRequestsWithAPartThatCrashedThreeTargets)
{
    TestRouter router;
    ScriptedTarget crashing([](const std::string&, unsigned) { return ScriptedReply { "", Then::Reset }; });
    router.setRoute(Fleet::RequestKind::Stream, 1);
    auto confirm = [&] { Dispatch::Commands::confirmCrashes(router.context().dispatch, Base::SystemClock().now()); };
    unsigned number = 0;
    for (auto method : { "POST", "PUT", "PATCH" }) {
        auto id = std::to_string(++number);
        router.addTarget(id, crashing);
        cr_assert(contains(router.exchange(method, "Lavenderloft-Prompt-Prefix: aa:40,bad:20,f" + id + ":9\r\n"), "HTTP/1.1 502"));
        router.removeTarget(id);
        confirm();
        // Crashes at the same moment would count once.
        std::this_thread::sleep_for(Dispatch::PartEvidence::commonCauseWindow);
        ScriptedTarget sound(respondsWith("data: done\n\n"));
        router.addTarget("sound-" + id, sound);
        cr_assert(contains(router.exchange("OPTIONS", "Lavenderloft-Prompt-Prefix: aa:40,e1:7\r\n"), "done"));
        router.removeTarget("sound-" + id);
    }
    ScriptedTarget fourth(respondsWith("data: done\n\n"));
    router.addTarget("4", fourth);
    auto refused = router.exchange("DELETE", "Lavenderloft-Prompt-Prefix: cc:12,bad:20,f4:9\r\n");
    cr_assert(contains(refused, "HTTP/1.1 503") && contains(refused, "Retry-After") && contains(refused, "blocked_part"), "%s", refused.c_str());
    cr_assert_eq(fourth.requests(), 0);
    cr_assert(contains(router.exchange("DELETE", "Lavenderloft-Prompt-Prefix: aa:40,f5:9\r\n"), "done"), "the other parts are not refused");
    cr_assert(contains(router.exchange("DELETE", "Lavenderloft-Prompt-Prefix: aa:40,bad:9\r\n"), "done"), "the last part belongs to the request alone");
}

// A target that crashes when it begins to write may send a first event; a request that goes on to be answered was not the
// cause. Guards against refusing requests that ran beside the one that crashed the target, and against sparing that one.
Test(Relay, aStreamThatBreaksAfterSeveralEventsIsNoEvidence)
{
    for (bool goesOn : { true, false }) {
        TestRouter router;
        ScriptedTarget crashing([=](const std::string& head, unsigned) {
            return ScriptedReply { .bytes = sealedStreamHead(head) + chunkOf("id: 1\ndata: x\n\n"), .then = Then::Reset, .later = goesOn ? chunkOf("id: 2\ndata: y\n\n") : "" };
        });
        router.setRoute(Fleet::RequestKind::Stream, 1);
        unsigned number = 0;
        for (auto method : { "POST", "PUT", "PATCH" }) {
            auto id = std::to_string(++number);
            router.addTarget(id, crashing);
            router.exchange(method, "Lavenderloft-Prompt-Prefix: aa:40,f" + id + ":9\r\n");
            router.removeTarget(id);
            Dispatch::Commands::confirmCrashes(router.context().dispatch, Base::SystemClock().now());
            std::this_thread::sleep_for(Dispatch::PartEvidence::commonCauseWindow);
        }
        ScriptedTarget sound(respondsWith("data: done\n\n"));
        router.addTarget("4", sound);
        cr_assert_eq(contains(router.exchange("DELETE", "Lavenderloft-Prompt-Prefix: aa:40,f4:9\r\n"), "done"), goesOn);
    }
}

// Operators need the outcomes and their durations to follow up on a complaint.
Test(Relay, countsOutcomesAndTimes)
{
    TestRouter router;
    ScriptedTarget target(respondsWith("hello"));
    router.setRoute(Fleet::RequestKind::Idempotent, 2);
    router.addTarget("1", target);
    router.exchange();
    router.exchange("GET", "", "other");
    auto metrics = router.metrics();
    cr_assert(contains(metrics, "lavenderloft_requests_total{outcome=\"request-served\",reason=\"answered\"} 1"), "%s", metrics.c_str());
    cr_assert(contains(metrics, "lavenderloft_requests_total{outcome=\"request-denied\",reason=\"no_route\"} 1"));
    cr_assert(contains(metrics, "lavenderloft_request_seconds_count{outcome=\"request-served\"} 1"));
    cr_assert(contains(metrics, "lavenderloft_request_wait_seconds_count 1"));
}

// Guards against a request that waits in an engine's queue until after the deadline of new weights and then begins on the
// old ones (rule VERSION on kalamos-loans-large, scale-1: sent 1.8 s before the deadline, begun 0.09 s after it).
Test(Relay, withdrawsARequestThatWaitsAtAnEngineWhoseWeightsExpire)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    router.setRoute(Fleet::RequestKind::Stream, 1, true);
    router.addTarget("1", target);
    // Routers choose engines with old weights until one second before the deadline.
    router.declareWeights(Fleet::FleetBounds().weights - std::chrono::milliseconds(1500));
    auto sentAt = std::chrono::steady_clock::now();
    auto response = router.exchange("POST");
    cr_assert_eq(target.requests(), 1);
    target.waitForHangEnd();
    auto elapsed = std::chrono::steady_clock::now() - sentAt;
    // Without a deadline the router waits for three times the target latency of two seconds.
    cr_assert(elapsed > std::chrono::milliseconds(900) && elapsed < std::chrono::seconds(4));
    cr_assert_not(contains(response, "HTTP/1.1 2"), "%s", response.c_str());
}
