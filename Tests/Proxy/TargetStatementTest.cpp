#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;

namespace {

std::string withField(std::string response, const std::string& field)
{
    return response.insert(response.find("\r\n") + 2, field + "\r\n");
}

// Number of requests that reach a target which replies so to the first one, out of five that are sent one after the
// other. Another target serves the rest.
unsigned requestsAfter(Fleet::RequestKind kind, const std::string& field, unsigned status)
{
    TestRouter router;
    ScriptedTarget reluctant([=](const std::string& head, unsigned) { return ScriptedReply { withField(sealedResponse(head, "", status), field) }; });
    ScriptedTarget other([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "") }; });
    router.setRoute(kind, 2);
    router.addTarget("1", reluctant);
    router.exchange();
    router.addTarget("2", other);
    // The list still says that the target is ready.
    router.addTarget("1", reluctant);
    constexpr unsigned requests = 5;
    for (unsigned i = 0; i < requests; ++i)
        cr_expect(contains(router.exchange(), "HTTP/1.1 200"));
    return reluctant.requests();
}

} // namespace

// Guards against requests to a target after it has said in a response that it leaves: a success, a failure or the head of
// a stream.
Test(TargetStatement, aTargetThatSaysItLeavesGetsNoMoreRequests)
{
    cr_expect_eq(requestsAfter(Fleet::RequestKind::Idempotent, "Server-Leaving: 1", 200), 1);
    cr_expect_eq(requestsAfter(Fleet::RequestKind::AtMostOnce, "Server-Leaving: 1", 500), 1);
    cr_expect_eq(requestsAfter(Fleet::RequestKind::Stream, "Server-Leaving: 1", 200), 1);
    cr_expect_eq(requestsAfter(Fleet::RequestKind::Stream, "Lavenderloft-Not-Executed: 1\r\nServer-Leaving: 1", 503), 1);
}

// Guards against requests to a target within the time for which it holds this router back, whether or not it says that the
// request did not run.
Test(TargetStatement, aTargetThatHoldsTheRouterBackGetsNoMoreRequests)
{
    cr_expect_eq(requestsAfter(Fleet::RequestKind::Idempotent, "Lavenderloft-Not-Executed: 1\r\nRetry-After: 30", 503), 1);
    cr_expect_eq(requestsAfter(Fleet::RequestKind::Idempotent, "Retry-After: 30.5", 503), 1);
}

// Guards against a refusal that takes the callers' time while the only target holds the router back, and against the
// target's own field in a response to a caller.
Test(TargetStatement, whatATargetSaysOfItselfIsForTheRouterOnly)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned number) {
        auto response = sealedResponse(head, "", number == 0 ? 200 : 503);
        return ScriptedReply { withField(response, number == 0 ? "Server-Leaving: 0" : "Lavenderloft-Not-Executed: 1\r\nRetry-After: 20") };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    cr_expect_not(contains(router.exchange(), "Server-Leaving"));
    router.exchange();
    auto refused = router.exchange();
    cr_expect(contains(refused, "HTTP/1.1 503") && contains(refused, "held_back"), "%s", refused.c_str());
    cr_expect_geq(std::stod(fieldOf(refused, "Retry-After")), 19);
    cr_expect_eq(target.requests(), 2);
}

// Guards against a target that gets more requests than the rate that it names as its limit: 20 and more in four seconds at
// one a second.
Test(TargetStatement, aTargetGetsNoMoreThanTheRateItNames)
{
    cr_expect_eq(requestsAfter(Fleet::RequestKind::Idempotent, "Server-Limit: 0.01", 200), 1);
    cr_expect_eq(requestsAfter(Fleet::RequestKind::AtMostOnce, "Server-Limit: 0.01", 500), 1);
    cr_expect_eq(requestsAfter(Fleet::RequestKind::Stream, "Server-Limit: 0", 200), 1);
}
