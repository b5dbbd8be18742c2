#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;

namespace {

// The response to HEAD, as a target that streams sends it: the head of the response to GET.
ScriptedReply headOnly(const std::string& head)
{
    return ScriptedReply { sealedStreamHead(head) };
}

ScriptedReply noContent(const std::string& head)
{
    auto reply = sealedResponse(head, "", 204);
    return ScriptedReply { reply };
}

} // namespace

// Guards against bytes of a body behind a response that has none: on a kept connection they are taken for the response to the
// next request, which has run and gets no answer.
Test(ResponseWithoutBody, endsWithItsHead)
{
    struct Case {
        const char* what;
        const char* method;
        Fleet::RequestKind kind;
        ScriptedReply (*reply)(const std::string&);
        const char* host;
        const char* status;
    };
    for (auto& tested : { Case { "HEAD on a streaming route", "HEAD", Fleet::RequestKind::Stream, headOnly, "h", "HTTP/1.1 200" },
             Case { "HEAD on another route", "HEAD", Fleet::RequestKind::Idempotent, headOnly, "h", "HTTP/1.1 200" },
             Case { "204 on a streaming route", "GET", Fleet::RequestKind::Stream, noContent, "h", "HTTP/1.1 204" },
             Case { "204 on another route", "GET", Fleet::RequestKind::Idempotent, noContent, "h", "HTTP/1.1 204" },
             Case { "HEAD without a route", "HEAD", Fleet::RequestKind::Idempotent, headOnly, "other", "HTTP/1.1 404" } }) {
        TestRouter router;
        ScriptedTarget target([&](const std::string& head, unsigned) { return tested.reply(head); });
        router.setRoute(tested.kind, 1, tested.kind == Fleet::RequestKind::Stream);
        router.addTarget("1", target);
        auto response = router.exchange(tested.method, "", tested.host);
        cr_expect(contains(response, tested.status), "%s: %s", tested.what, response.c_str());
        cr_expect(response.ends_with("\r\n\r\n") && response.find("\r\n\r\n") + 4 == response.size(), "%s: %s", tested.what, response.c_str());
        cr_expect_not(contains(response, "Transfer-Encoding"), "%s: %s", tested.what, response.c_str());
    }
}

// Guards against the same for a refusal of the router itself.
Test(ResponseWithoutBody, alsoIfTheRouterRefuses)
{
    TestRouter router;
    auto response = router.exchange("HEAD");
    cr_expect(contains(response, "HTTP/1.1 503"));
    cr_expect(response.find("\r\n\r\n") + 4 == response.size(), "%s", response.c_str());
    response = router.exchange("GET");
    cr_expect(response.ends_with("\"}"), "GET has the reason in the body");
}
