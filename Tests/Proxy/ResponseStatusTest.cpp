#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;

namespace {

// A sealed response whose status line has the given status.
std::string responseWithStatus(const std::string& head, const std::string& status)
{
    auto response = sealedResponse(head, "body");
    return response.replace(response.find("200"), 3, status);
}

// What the caller receives if the only target responds to every request with this status, and the requests it was sent.
struct Outcome {
    std::string response;
    unsigned requests = 0;
};

Outcome outcomeOf(const std::string& status)
{
    TestRouter router;
    ScriptedTarget target([&](const std::string& head, unsigned) { return ScriptedReply { responseWithStatus(head, status) }; });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1, false, std::chrono::milliseconds(2000));
    router.addTarget("1", target);
    auto response = router.exchange("POST");
    return { response, target.requests() };
}

} // namespace

// Guards against a status that is none and reaches the caller: parsers take any three digits.
Test(ResponseStatus, outOfRangeIsABrokenAttempt)
{
    for (auto* status : { "000", "001", "099", "600", "601", "999", "20", "2000", "0200", "-20", "2x0", "" }) {
        auto outcome = outcomeOf(status);
        cr_expect(outcome.response.starts_with("HTTP/1.1 502"), "status \"%s\": %s", status, outcome.response.c_str());
        cr_expect_not(contains(outcome.response, "body"), "status \"%s\"", status);
        cr_expect_eq(outcome.requests, 1, "status \"%s\": the request must not run twice", status);
    }
}

// Guards against a status that is none and is skipped like an interim response, so that what follows is taken for the
// response.
Test(ResponseStatus, outOfRangeIsNotSkipped)
{
    for (auto* status : { "000", "099", "101" }) {
        TestRouter router;
        ScriptedTarget target([&](const std::string& head, unsigned) {
            auto first = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n";
            return ScriptedReply { first + sealedResponse(head, "later") };
        });
        router.setRoute(Fleet::RequestKind::AtMostOnce, 1, false, std::chrono::milliseconds(2000));
        router.addTarget("1", target);
        auto response = router.exchange("POST");
        cr_expect(response.starts_with("HTTP/1.1 502"), "status %s: %s", status, response.c_str());
    }
}

// Guards against a request that fails although it may be repeated.
Test(ResponseStatus, outOfRangeIsRetriedWhereThatIsAllowed)
{
    TestRouter router;
    ScriptedTarget broken([](const std::string& head, unsigned) { return ScriptedReply { responseWithStatus(head, "999") }; });
    ScriptedTarget whole([](const std::string& head, unsigned) { return ScriptedReply { sealedResponse(head, "hello") }; });
    router.setRoute(Fleet::RequestKind::Idempotent, 3);
    router.addTarget("1", broken);
    router.addTarget("2", whole);
    for (unsigned i = 0; i < 8; ++i) {
        auto response = router.exchange("POST");
        cr_expect(response.starts_with("HTTP/1.1 200") && response.ends_with("hello"), "%s", response.c_str());
    }
}

// Guards against an interim response that reaches the caller in place of the response.
Test(ResponseStatus, interimResponsesAreSkipped)
{
    TestRouter router;
    ScriptedTarget target([](const std::string& head, unsigned) {
        return ScriptedReply { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sealedResponse(head, "hello") };
    });
    router.setRoute(Fleet::RequestKind::AtMostOnce, 1);
    router.addTarget("1", target);
    auto response = router.exchange("POST");
    cr_expect(response.starts_with("HTTP/1.1 200") && response.ends_with("hello"), "%s", response.c_str());
    cr_expect_not(contains(response, "Early Hints"));
}
