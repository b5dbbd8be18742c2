#include "Dispatch/Commands/RecordCrash.h"
#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using Then = ScriptedReply::Then;

namespace {

ScriptedTarget::Script answersWith(const std::string& body)
{
    return [body](const std::string& head, unsigned) { return ScriptedReply { sealedAnswer(head, body) }; };
}

const std::string notExecuted = "HTTP/1.1 503 X\r\nLavenderloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against an answer that is changed on its way, or a connection that ends after it though it is kept.
Test(Relay, passesAnAnswerOnUnchanged)
{
    TestRouter router;
    ScriptedTarget target(answersWith("hello"));
    router.setRoute(Fleet::RequestKind::Idempotent, 2);
    router.addTarget("1", target);
    auto answer = router.exchange();
    cr_assert(contains(answer, "HTTP/1.1 200") && contains(answer, "Lavenderloft-Response-Seal: seal") && answer.ends_with("\r\n\r\nhello"));
    auto head = target.heads().front();
    cr_assert_eq(fieldOf(head, "Lavenderloft-Expect-Instance"), "1");
    cr_assert_leq(std::stoi(fieldOf(head, "Lavenderloft-Deadline-Ms")), 5000);
}

// Guards against a denial while no configuration is known: such a node can't say what is allowed.
Test(Relay, answers503UntilAConfigurationIsKnown)
{
    TestRouter router;
    auto answer = router.exchange();
    cr_assert(contains(answer, "HTTP/1.1 503") && contains(answer, "Retry-After"));
    router.setRoute(Fleet::RequestKind::Idempotent, 2);
    cr_assert(contains(router.exchange("GET", "", "other"), "HTTP/1.1 404"));
}

// Guards against a request that runs twice because its target broke off.
Test(Relay, doesNotSendAnUnrepeatableRequestAgain)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Reset }; });
    ScriptedTarget other(answersWith("second run"));
    router.setRoute(Fleet::RequestKind::AtMostOnce, 3);
    router.addTarget("1", target);
    auto answer = router.exchange("POST");
    cr_assert(contains(answer, "HTTP/1.1 502"), "%s", answer.c_str());
    router.addTarget("2", other);
    cr_assert_eq(target.requests() + other.requests(), 1);
}

// Guards against a promise that a request did not run, when it may have: the target's own 503 is no promise.
Test(Relay, doesNotPassOnAPromiseThatTheTargetDidNotMake)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) { return ScriptedReply { sealedAnswer(head, "", 503) }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 502"));
}

// Guards against a lost request that another target could have run.
Test(Relay, sendsARequestThatDidNotRunToAnotherTarget)
{
    TestRouter router;
    ScriptedTarget full([](const std::string&, unsigned) { return ScriptedReply { notExecuted }; });
    ScriptedTarget free(answersWith("done"));
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", full);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 503"), "nothing ran");
    router.addTarget("2", free);
    cr_assert(contains(router.exchange("POST"), "done"));
}

// Guards against an answer to an earlier request that reaches the next caller on a kept connection.
Test(Relay, leavesOutAnAnswerToAnotherRequest)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) {
        return ScriptedReply { "HTTP/1.1 200 X\r\nLavenderloft-Request-Id: other\r\nLavenderloft-Response-Seal: x\r\nContent-Length: 5\r\n\r\nwrong" + sealedAnswer(head, "right") };
    });
    router.setRoute(Fleet::RequestKind::Idempotent, 1);
    router.addTarget("1", target);
    auto answer = router.exchange();
    cr_assert(contains(answer, "right") && !contains(answer, "wrong"));
}

// Guards against bytes after an answer that are taken for the next one.
Test(Relay, doesNotUseAConnectionWithStrayBytesAgain)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned number) {
        return ScriptedReply { sealedAnswer(head, "body" + std::to_string(number)) + (number == 0 ? "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx" : "") };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "body0"));
    cr_assert(contains(router.exchange("POST"), "body1"));
}

// Guards against a success that is not the target's own.
Test(Relay, doesNotPassOnASuccessWithoutASeal)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) {
        return ScriptedReply { "HTTP/1.1 200 X\r\nLavenderloft-Request-Id: " + fieldOf(head, "Lavenderloft-Request-Id") + "\r\nContent-Length: 4\r\n\r\nfake" };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    auto answer = router.exchange("POST");
    cr_assert(contains(answer, "HTTP/1.1 502") && !contains(answer, "fake"));
}

// Guards against an answer that was cut off and looks whole.
Test(Relay, doesNotCompleteAnAnswerThatWasCutOff)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) {
        auto answer = sealedAnswer(head, "hello");
        return ScriptedReply { answer.substr(0, answer.size() - 2), Then::Close };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 502"));
}

// Guards against a stream whose parts are lost or doubled when its target breaks off in the middle of an event.
Test(Relay, aResumableStreamGoesOnAtTheExactEvent)
{
    TestRouter router;
    std::promise<void> otherIsKnown;
    ScriptedTarget broken([&](const std::string& head, unsigned) {
        otherIsKnown.get_future().wait();
        return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), Then::Close };
    });
    ScriptedTarget whole([](const std::string& head, unsigned) {
        // It also repeats an event that the caller has.
        return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") + "0\r\n\r\n" };
    });
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    router.addTarget("1", broken);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Connection: close\r\n");
    // The second target is known only when the first has been chosen.
    broken.waitForRequests(1);
    router.addTarget("2", whole);
    otherIsKnown.set_value();
    auto answer = TestRouter::readAll(socket);
    cr_assert_eq(fieldOf(whole.heads().front(), "Last-Event-Id"), "2");
    cr_assert(answer.ends_with("0\r\n\r\n"));
    for (auto* event : { "data: a", "data: b", "data: c" })
        cr_expect(contains(answer, event), "%s is missing", event);
    cr_assert_eq(answer.find("data: b"), answer.rfind("data: b"));
}

// Guards against a broken stream that a caller takes for whole.
Test(Relay, aStreamThatCannotBeResumedEndsVisiblyBroken)
{
    TestRouter router;
    ScriptedTarget broken([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 1\n\n"), Then::Close }; });
    router.setRoute(Fleet::RequestKind::Stream, 2);
    router.addTarget("1", broken);
    auto answer = router.exchange("POST");
    cr_assert(contains(answer, "id: 1") && !answer.ends_with("0\r\n\r\n"));
    cr_assert_eq(broken.requests(), 1);
}

// Guards against work that goes on at a target after its caller has left.
Test(Relay, cancelsTheWorkOfACallerThatLeft)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    router.setRoute(Fleet::RequestKind::Stream, 1);
    router.addTarget("1", target);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "");
    target.waitForRequests(1);
    socket.close();
    // Ends only when the router closes its connection to the target.
    target.waitForHangEnd();
    cr_assert_eq(target.requests(), 1);
}

// Guards against a request that is held beyond the time that its route allows.
Test(Relay, answersAtTheTimeoutOfTheRoute)
{
    TestRouter router;
    ScriptedTarget target([](const std::string&, unsigned) { return ScriptedReply { "", Then::Hang }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1, false, std::chrono::milliseconds(100));
    router.addTarget("1", target);
    cr_assert(contains(router.exchange("POST"), "HTTP/1.1 504"));
}

// Guards against a process that begins requests shortly before it ends.
Test(Relay, refusesRequestsWhenTheProcessIsAboutToEnd)
{
    TestRouter router;
    ScriptedTarget target(answersWith("late"));
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    router.context().draining = true;
    router.context().closing = true;
    auto answer = router.exchange("POST");
    cr_assert(contains(answer, "HTTP/1.1 503") && contains(answer, "Connection: close") && contains(answer, "Retry-After"));
    cr_assert_eq(target.requests(), 0);
}

// Guards against a request that crashes a fourth target when its caller sends it again.
Test(Relay, keepsARequestThatCrashedThreeTargetsFromOthers)
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
    cr_assert_eq(first.requests() + second.requests() + third.requests(), 3);
    for (auto id : { "1", "2", "3" })
        router.removeTarget(id);
    Dispatch::Commands::confirmCrashes(router.context().dispatch, Base::SystemClock().now());
    ScriptedTarget fourth(answersWith("done"));
    router.addTarget("4", fourth);
    auto refused = router.exchange();
    cr_assert(contains(refused, "HTTP/1.1 503") && contains(refused, "Retry-After") && contains(refused, "quarantined"), "%s", refused.c_str());
    cr_assert_eq(fourth.requests(), 0);
    cr_assert(contains(router.exchange("OPTIONS"), "done"), "another request is served");
}

// Guards against figures that an operator misses after a complaint: outcomes, their times and failed attempts.
Test(Relay, countsOutcomesAndTimes)
{
    TestRouter router;
    ScriptedTarget target(answersWith("hello"));
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
