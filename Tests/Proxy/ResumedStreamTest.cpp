#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using Then = ScriptedReply::Then;

namespace {

constexpr auto finalChunk = "0\r\n\r\n";
const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

// What the caller of a resumable stream receives if its first target breaks off after these events, and the second one
// then replies according to the script.
std::string responseAfter(const std::string& events, ScriptedTarget::Script resumed)
{
    TestRouter router;
    std::promise<void> otherIsKnown;
    ScriptedTarget broken([&](const std::string& head, unsigned) {
        otherIsKnown.get_future().wait();
        return ScriptedReply { sealedStreamHead(head) + chunkOf(events), Then::Reset };
    });
    ScriptedTarget other(std::move(resumed));
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    router.addTarget("1", broken);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Connection: close\r\n");
    broken.waitForRequests(1);
    router.addTarget("2", other);
    otherIsKnown.set_value();
    return TestRouter::readAll(socket);
}

std::string withType(std::string response, const std::string& type)
{
    auto end = response.find("\r\n\r\n");
    return response.insert(end, "\r\nContent-Type: " + type);
}

// The caller has the events of the first target, nothing of the second, and no end.
void expectVisiblyBroken(const std::string& response)
{
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
    cr_expect(contains(response, firstEvents), "%s", response.c_str());
    cr_expect_not(response.ends_with(finalChunk), "looks complete: %s", response.c_str());
    cr_expect_not(contains(response, "no room"), "%s", response.c_str());
    cr_expect_eq(response.find("HTTP/1.1"), response.rfind("HTTP/1.1"));
}

} // namespace

// Guards against the text or the head of an error in the middle of a caller's stream, and against an error that ends the
// stream as if it were complete.
Test(ResumedStream, anErrorOfTheNextTargetIsNotForwarded)
{
    for (unsigned status : { 500, 404, 400, 302, 502 }) {
        expectVisiblyBroken(responseAfter(firstEvents, [=](const std::string& head, unsigned) {
            return ScriptedReply { sealedResponse(head, "no room\n\n", status) };
        }));
    }
}

// Guards against a refusal that ends the stream, or whose text gets into it.
Test(ResumedStream, aRefusalOfTheNextTargetIsNotForwarded)
{
    expectVisiblyBroken(responseAfter(firstEvents, [](const std::string& head, unsigned) {
        auto refusal = sealedResponse(head, "no room\n\n", 503);
        return ScriptedReply { refusal.insert(refusal.find("\r\n") + 2, "Lavenderloft-Not-Executed: 1\r\n") };
    }));
}

// Guards against a success that is no event stream, for example the page of a component in front of the target: a blank
// line in it would pass for the end of an event.
Test(ResumedStream, aBodyThatIsNoEventStreamIsNotForwarded)
{
    for (auto type : { "application/json", "text/html; charset=utf-8" }) {
        expectVisiblyBroken(responseAfter(firstEvents, [=](const std::string& head, unsigned) {
            return ScriptedReply { withType(sealedResponse(head, "no room\n\nno room\n\n"), type) };
        }));
    }
}

// Guards against events without an id that follow others with ids: it is unknown where they belong.
Test(ResumedStream, eventsWithoutAnIdAreNotForwarded)
{
    expectVisiblyBroken(responseAfter(firstEvents, [](const std::string& head, unsigned) {
        return ScriptedReply { sealedResponse(head, "data: no room\n\n") };
    }));
}

// Guards against a gap in a stream whose next target goes on at a later event than the one asked for.
Test(ResumedStream, aStreamFromALaterEventIsNotForwarded)
{
    expectVisiblyBroken(responseAfter(firstEvents, [](const std::string& head, unsigned) {
        return ScriptedReply { withType(sealedResponse(head, "id: 4\ndata: no room\n\n"), "text/event-stream") };
    }));
}

// Guards against events that reach the caller twice, because events without ids can't be told apart after a break.
Test(ResumedStream, aStreamWithoutIdsIsNotResumed)
{
    auto response = responseAfter("data: a\n\n", [](const std::string& head, unsigned) {
        return ScriptedReply { sealedResponse(head, "data: a\n\ndata: b\n\n") };
    });
    cr_expect_eq(response.find("data: a"), response.rfind("data: a"), "%s", response.c_str());
    cr_expect_not(response.ends_with(finalChunk));
}

// Guards against a stream that is given up at once because the only other target is full for a moment.
Test(ResumedStream, waitsForASlot)
{
    constexpr unsigned slots = 1;
    constexpr unsigned streamsOfFullTarget = 2;
    const std::string lastEvent = "id: 3\ndata: c\n\n";
    TestRouter router;
    router.expectedPause = std::chrono::milliseconds(100);
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    ScriptedTarget full([&](const std::string& head, unsigned number) {
        ScriptedReply reply { sealedStreamHead(head) };
        reply.later = chunkOf(number < streamsOfFullTarget ? firstEvents : lastEvent) + finalChunk;
        reply.pauseBeforeLater = std::chrono::milliseconds(number < streamsOfFullTarget ? 600 : 0);
        return reply;
    });
    ScriptedTarget broken([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head) + chunkOf(firstEvents), Then::Reset }; });
    router.addTargetAt("2", full.port(), slots);
    boost::asio::io_context context;
    auto first = router.send(context, "POST", "Connection: close\r\n");
    auto second = router.send(context, "POST", "Connection: close\r\n");
    full.waitForRequests(streamsOfFullTarget);
    router.addTarget("1", broken);
    auto response = router.exchange("POST");
    cr_expect(contains(response, firstEvents), "%s", response.c_str());
    cr_expect(contains(response, lastEvent), "%s", response.c_str());
    cr_expect(response.ends_with(finalChunk), "%s", response.c_str());
}
