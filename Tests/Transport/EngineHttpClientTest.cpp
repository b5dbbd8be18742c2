#include "Http/EngineHttpClient.h"
#include "Http/EngineRequest.h"
#include "Http/ForwardedHeaders.h"

#include <criterion/criterion.h>
#include <limits>
#include <string>

using namespace Lavenderloft;
using Placement::EngineErrorKind;
using Placement::EngineMode;

// Guards against accepting an incomplete status: a missing field or one of the wrong type must be an error.
Test(EngineHttpClient, refusesAMalformedStatus)
{
    for (const char* body : { "", "[]", "{}", R"({"incarnation":1,"state":"hot","digest":""})", R"({"incarnation":true,"state":"ready","digest":""})",
             R"({"incarnation":1,"state":"ready"})", R"({"incarnation":1,"state":"ready","digest":"d","running":"many"})" }) {
        auto status = Http::parseEngineStatus(body);
        cr_assert_not(Base::succeeded(status), "accepted %s", body);
        cr_assert(Base::errorOf(status).kind == EngineErrorKind::Malformed);
    }
}

// Guards against numbers that wrap around: -1 running requests were read as four billion.
Test(EngineHttpClient, refusesNumbersOutOfRange)
{
    for (const char* number : { "-1", "4294967297", "1e300", "18446744073709551615", "1e999" }) {
        auto status = Http::parseEngineStatus(R"({"incarnation":1,"state":"ready","digest":"d","running":)" + std::string(number) + "}");
        cr_expect_not(Base::succeeded(status), "accepted %s", number);
    }
    for (const char* number : { "-1", "1e300", "18446744073709551616" }) {
        auto status = Http::parseEngineStatus(R"({"incarnation":1,"state":"ready","digest":"d","memoryBytes":)" + std::string(number) + "}");
        cr_expect_not(Base::succeeded(status), "accepted %s", number);
    }
}

// Guards against different incarnations given as strings that map to the same number.
Test(EngineHttpClient, readsIncarnationsOfBothKinds)
{
    auto read = [](const std::string& incarnation) {
        return Base::valueOf(Http::parseEngineStatus(R"({"incarnation":)" + incarnation + R"(,"state":"cold","digest":"d","running":2})"));
    };
    cr_assert_eq(read("7").incarnation, 7);
    cr_assert_neq(read("\"a\"").incarnation, read("\"b\"").incarnation);
    cr_assert(read("7").mode == EngineMode::Cold);
    cr_assert_eq(read("7").running, 2);
    cr_assert(read("7").serves("d"));
}

// Guards against callers that set their own priority at the engine, and against corrupting the body.
Test(EngineRequest, setsThePriorityOfTheClass)
{
    using DesiredState::PriorityClass;
    cr_assert(Http::withPriority(R"({"priority":9,"prompt":"x"})", PriorityClass::Hazard) == R"({"priority":2,"prompt":"x"})");
    cr_assert(Http::withPriority(R"({"prompt":"x"})", PriorityClass::Summary) == R"({"priority":0,"prompt":"x"})");
    cr_assert(Http::withPriority("not json", PriorityClass::Hazard) == "not json");
    cr_assert_not(Http::isForwarded("Transfer-Encoding"));
    cr_assert(Http::isForwarded("Content-Type"));
}

// Guards against a caller that ends the agent: the body was written anew with its priority by a recursion as deep as the
// body's values are nested, which exceeded the stack.
Test(EngineRequest, leavesADeeplyNestedBodyUnchanged)
{
    constexpr size_t depth = 1000000;
    auto body = "{\"prompt\":" + std::string(depth, '[') + std::string(depth, ']') + "}";
    cr_assert(Http::withPriority(body, DesiredState::PriorityClass::Hazard) == body);
}

// Guards against callers that set the resume point themselves, and against partial parsing of the engine's header.
Test(EngineRequest, replacesTheCallersResumePoint)
{
    Http::HttpHeaders headers { { "x-resume-from", "3" }, { "Content-Type", "text/plain" } };
    Http::setResumeFrom(headers, 7);
    cr_assert(Http::headerValue(headers, "X-Resume-From") == "7");
    Http::setResumeFrom(headers, 0);
    cr_assert_eq(headers.size(), 1);
    cr_assert_eq(Http::resumedFrom(headers), 0);
    cr_assert_eq(Http::resumedFrom({ { "X-Resumed-From", "7" } }), 7);
    for (auto* text : { "7x", "-1", "99999999999999999999", " " })
        cr_assert_eq(Http::resumedFrom({ { "X-Resumed-From", text } }), std::numeric_limits<uint64_t>::max(), "%s", text);
}
