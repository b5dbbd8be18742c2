#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using Then = ScriptedReply::Then;

namespace {

using Head = std::string (*)(const std::string&);

constexpr auto finalChunk = "0\r\n\r\n";

// What the caller of a resumable stream receives if its first target sends these bytes and closes the connection, and a
// second target sends the events 2 and 3. The second target receives the Last-Event-Id that is returned with it.
struct ResumedStream {
    std::string response;
    std::string lastEventId;
};

ResumedStream resumeAfter(Head makeHead, const std::string& bytes)
{
    TestRouter router;
    std::promise<void> otherIsKnown;
    ScriptedTarget broken([&](const std::string& head, unsigned) {
        otherIsKnown.get_future().wait();
        return ScriptedReply { makeHead(head) + bytes, Then::Close };
    });
    ScriptedTarget whole([](const std::string& head, unsigned) {
        return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") + finalChunk };
    });
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    router.addTarget("1", broken);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Connection: close\r\n");
    broken.waitForRequests(1);
    router.addTarget("2", whole);
    otherIsKnown.set_value();
    auto response = TestRouter::readAll(socket);
    auto heads = whole.heads();
    return { response, heads.empty() ? std::string() : fieldOf(heads.front(), "Last-Event-Id") };
}

// What the caller of a request that may not be repeated receives from a target that sends these bytes.
std::string responseTo(Fleet::RequestKind kind, Head makeHead, const std::string& bytes, Then then)
{
    TestRouter router;
    ScriptedTarget target([&](const std::string& head, unsigned) { return ScriptedReply { makeHead(head) + bytes, then }; });
    router.setRoute(kind, 1);
    router.addTarget("1", target);
    return router.exchange("POST");
}

void expectThreeEvents(const ResumedStream& stream)
{
    cr_expect_eq(stream.lastEventId, "1");
    cr_expect(stream.response.ends_with(finalChunk), "%s", stream.response.c_str());
    for (auto* event : { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n" })
        cr_expect(contains(stream.response, event), "%s is missing", event);
}

} // namespace

// Guards against half an event that a caller takes for a whole one: the target closes a stream that has neither a length
// nor chunks inside an event, and another target can continue.
Test(BrokenResponse, aStreamThatEndsWithItsConnectionInsideAnEventIsResumed)
{
    expectThreeEvents(resumeAfter(sealedUnboundedHead, "id: 1\ndata: a\n\nid: 2\nda"));
}

// Guards against the same half event where the target breaks off inside an event and still ends its chunks.
Test(BrokenResponse, aStreamWhoseLastChunkEndsInsideAnEventIsResumed)
{
    expectThreeEvents(resumeAfter(sealedStreamHead, chunkOf("id: 1\ndata: a\n\nid: 2\nda") + finalChunk));
}

// Guards against a broken stream that looks complete where no other target may continue.
Test(BrokenResponse, aStreamThatEndsInsideAnEventIsAborted)
{
    auto response = responseTo(Fleet::RequestKind::Stream, sealedUnboundedHead, "id: 1\ndata: a\n\nid: 2\nda", Then::Close);
    cr_assert(contains(response, "id: 1\ndata: a\n\n"), "%s", response.c_str());
    cr_assert(!contains(response, "id: 2") && !response.ends_with(finalChunk), "%s", response.c_str());
}

// Guards against a whole stream being taken for a broken one because it has neither a length nor chunks.
Test(BrokenResponse, aStreamThatEndsWithItsConnectionAfterAnEventIsComplete)
{
    auto response = responseTo(Fleet::RequestKind::Stream, sealedUnboundedHead, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Then::Close);
    cr_assert(contains(response, "id: 2\ndata: b\n\n") && response.ends_with(finalChunk), "%s", response.c_str());
}

// Guards against a reset between two events being taken for the end of a stream.
Test(BrokenResponse, aStreamThatIsResetAfterAnEventIsAborted)
{
    auto response = responseTo(Fleet::RequestKind::Stream, sealedUnboundedHead, "id: 1\ndata: a\n\n", Then::Reset);
    cr_assert(!response.ends_with(finalChunk), "%s", response.c_str());
}

// Guards against a lost response: one with neither a length nor chunks is complete when its connection is closed.
Test(BrokenResponse, aResponseThatEndsWithItsConnectionIsComplete)
{
    auto response = responseTo(Fleet::RequestKind::AtMostOnce, sealedUnboundedHead, "whole", Then::Close);
    cr_assert(contains(response, "HTTP/1.1 200") && response.ends_with("\r\n\r\nwhole"), "%s", response.c_str());
}

// Guards against part of a response that looks complete: one with neither a length nor chunks whose connection is reset.
Test(BrokenResponse, aResponseThatIsResetIsNotComplete)
{
    auto response = responseTo(Fleet::RequestKind::AtMostOnce, sealedUnboundedHead, "part", Then::Reset);
    cr_assert(contains(response, "HTTP/1.1 502") && !contains(response, "part"), "%s", response.c_str());
}

// Guards against an event that is joined from two runs: a target breaks off inside the first event, of which the caller
// has nothing yet, and another target starts the stream anew.
Test(BrokenResponse, aStreamThatEndsInsideItsFirstEventIsStartedAnew)
{
    TestRouter router;
    std::promise<void> otherIsKnown;
    ScriptedTarget broken([&](const std::string& head, unsigned) {
        otherIsKnown.get_future().wait();
        return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 1\nda"), Then::Close };
    });
    ScriptedTarget whole([](const std::string& head, unsigned) { return ScriptedReply { sealedStreamHead(head) + chunkOf("id: 1\ndata: a\n\n") + finalChunk }; });
    router.setRoute(Fleet::RequestKind::Stream, 2, true);
    router.addTarget("1", broken);
    boost::asio::io_context context;
    auto socket = router.send(context, "POST", "Connection: close\r\n");
    broken.waitForRequests(1);
    router.addTarget("2", whole);
    otherIsKnown.set_value();
    auto response = TestRouter::readAll(socket);
    cr_assert(response.ends_with(chunkOf("id: 1\ndata: a\n\n") + finalChunk), "%s", response.c_str());
}
