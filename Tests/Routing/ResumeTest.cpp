#include "Routing/Commands/ChargeRetryBudget.h"
#include "Routing/RoutingFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Routing;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> lines { "one\n", "two\n", "three\n", "[DONE]\n" };

// The engine's response from the given token.
std::string responseFrom(uint64_t token)
{
    std::string text;
    for (size_t i = token; i < lines.size(); ++i)
        text += lines[i];
    return text;
}

// A request whose response was partly sent to the caller.
struct StartedResponse {
    explicit StartedResponse(const std::string& part, unsigned targets = 3)
        : fixture(targets)
        , caller(fixture.start(fixture.poolRequest()))
    {
        fixture.channels.last().permit();
        fixture.channels.last().head();
        fixture.channels.last().data(part);
    }

    size_t attempts() const { return fixture.channels.attempts.size(); }

    RoutingFixture fixture;
    std::shared_ptr<FakeCaller> caller;
};

} // namespace

// Guards against lost, duplicated or displaced bytes after a break. For a break at each byte, and with the rest in
// single bytes or in one part, the caller must receive the exact response with one head.
Test(Resume, deliversTheExactResponseAfterABreakAtAnyByte)
{
    auto whole = responseFrom(0);
    for (size_t length = 1; length <= whole.size(); ++length) {
        for (size_t partBytes : { size_t(1), whole.size() }) {
            StartedResponse response(whole.substr(0, length));
            response.fixture.channels.last().breakOff();
            cr_assert_eq(response.attempts(), 2);
            auto& second = response.fixture.channels.last();
            auto token = second.admission.resumeFromToken;
            cr_assert_eq(token, std::min<size_t>(3, static_cast<size_t>(std::count(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(length), '\n'))));
            cr_assert(second.admission.weightsDigest == RoutingFixture::digest);
            cr_assert(second.address != response.fixture.channels.attempts[0]->address);
            second.permit();
            second.head();
            auto rest = responseFrom(token);
            for (size_t offset = 0; offset < rest.size(); offset += partBytes)
                second.data(rest.substr(offset, partBytes));
            second.end(rest.size());
            cr_assert(response.caller->completed);
            cr_assert(response.caller->body == whole, "%s", response.caller->body.c_str());
            cr_assert_eq(response.caller->heads, 1);
        }
    }
}

// Guards against a mixed response when the second target generates different or less text than was already sent.
Test(Resume, abortsAResponseThatDiffersFromThePartSent)
{
    for (std::string rest : { "tv", "x", "tv\n[DONE]\n" }) {
        StartedResponse response("one\ntwo");
        response.fixture.channels.last().breakOff();
        auto& second = response.fixture.channels.last();
        second.permit();
        second.head();
        second.data(rest);
        cr_assert(response.caller->aborted);
        cr_assert(second.cancelled);
        cr_assert(response.caller->body == "one\ntwo");
    }
    StartedResponse response("one\ntwo");
    response.fixture.channels.last().breakOff();
    response.fixture.channels.last().permit();
    response.fixture.channels.last().respond("tw");
    cr_assert(response.caller->aborted);
    cr_assert_not(response.caller->completed);
}

// Guards against resuming a response from different weights, and against failing while a target may return.
Test(Resume, waitsForATargetWithTheSameDigest)
{
    for (bool comesBack : { true, false }) {
        StartedResponse response("one\n");
        auto& fixture = response.fixture;
        for (auto& member : fixture.members) {
            if (member.vm.starts_with("t"))
                member.replicas[0].servingDigest = "d2";
        }
        fixture.update();
        fixture.channels.last().breakOff();
        fixture.advance(1s);
        cr_assert_eq(response.attempts(), 1);
        cr_assert_not(response.caller->hasEnded());
        if (comesBack)
            fixture.members[2].replicas[0].servingDigest = RoutingFixture::digest;
        fixture.update();
        fixture.advance(1s);
        cr_assert_eq(response.attempts(), comesBack ? 2 : 1);
        if (comesBack) {
            fixture.channels.last().permit();
            fixture.channels.last().respond(responseFrom(1));
        }
        fixture.advance(30s);
        cr_assert_eq(response.caller->completed, comesBack);
        cr_assert_eq(response.caller->aborted, !comesBack);
        cr_assert(response.caller->body == (comesBack ? responseFrom(0) : "one\n"));
    }
}

// Guards against aborting a response because all targets are briefly at their limits.
Test(Resume, waitsForAFreeSlot)
{
    StartedResponse response("one\n");
    response.fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.refuse(RefusalKind::AtLimit); };
    response.fixture.channels.last().breakOff();
    cr_assert_not(response.caller->hasEnded());
    response.fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.permit(); };
    response.fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.respond(responseFrom(attempt.admission.resumeFromToken)); };
    response.fixture.advance(1s);
    cr_assert(response.caller->completed);
    cr_assert(response.caller->body == responseFrom(0));
}

// Guards against aborting a response because the router has not yet detected that the VMs it tries are down.
Test(Resume, waitsWhileNoTargetCanBeReached)
{
    StartedResponse response("one\n", 1);
    response.fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.breakOff(); };
    response.fixture.channels.last().breakOff();
    for (int i = 0; i < 20; ++i)
        response.fixture.advance(200ms);
    cr_assert_not(response.caller->hasEnded());
    cr_assert_leq(response.attempts(), 1 + 20);
    response.fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.permit(); };
    response.fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.respond(responseFrom(attempt.admission.resumeFromToken)); };
    response.fixture.advance(200ms);
    cr_assert(response.caller->completed);
    cr_assert(response.caller->body == responseFrom(0));
}

// Guards against resumes that multiply the traffic while targets fail, and against a response that is aborted although the
// budget recovers before its deadline.
Test(Resume, isChargedToTheRetryBudget)
{
    for (bool recovers : { true, false }) {
        StartedResponse response("one\n");
        auto& fixture = response.fixture;
        while (Base::succeeded(Commands::chargeRetry(fixture.retryBudget))) { }
        fixture.channels.last().breakOff();
        fixture.advance(10s);
        cr_assert_not(response.caller->hasEnded());
        cr_assert_eq(response.attempts(), 1);
        for (int64_t i = 0; recovers && i < RetryBudget::requestsPerRetry; ++i)
            Commands::creditRequest(fixture.retryBudget);
        fixture.advance(200ms);
        cr_assert_eq(response.attempts(), recovers ? 2 : 1);
        if (recovers) {
            cr_assert_not(Base::succeeded(Commands::chargeRetry(fixture.retryBudget)));
            fixture.channels.last().permit();
            fixture.channels.last().respond(responseFrom(1));
        }
        fixture.advance(20s);
        cr_assert_eq(response.caller->completed, recovers);
        cr_assert_eq(response.caller->aborted, !recovers);
    }
}

// Guards against a request that is resumed indefinitely because it breaks each target, even if it makes progress.
Test(Resume, isBoundedForEachRequest)
{
    StartedResponse response("one\n", 10);
    while (!response.caller->hasEnded()) {
        cr_assert_leq(response.attempts(), 1 + Queries::maximumResumes);
        response.fixture.channels.last().permit();
        response.fixture.channels.last().head();
        response.fixture.channels.last().data("more\n");
        response.fixture.channels.last().breakOff();
    }
    cr_assert(response.caller->aborted);
    cr_assert_eq(response.attempts(), 1 + Queries::maximumResumes);
}

// Guards against a response that restarts at its first token, from engines that do not support the resume header.
Test(Resume, rejectsAnEngineThatDoesNotConfirmTheToken)
{
    StartedResponse response("one\n", 10);
    response.fixture.channels.last().breakOff();
    while (!response.caller->hasEnded()) {
        auto& attempt = response.fixture.channels.last();
        attempt.permit();
        attempt.events->head({ attempt.id(), 200, {}, RoutingFixture::digest, false, 0 });
        cr_assert(attempt.cancelled);
        attempt.data(responseFrom(0));
    }
    cr_assert(response.caller->aborted);
    cr_assert(response.caller->body == "one\n");
    cr_assert_eq(response.attempts(), 1 + Queries::maximumResumes);
}

// Guards against a request that is not quarantined because its response is resumed after each crash, and against
// resuming interrupted responses at once: they would run next to it at the next target again, and a second crash could
// not tell them apart.
Test(Resume, countsAsCrashEvidence)
{
    StartedResponse response("one\n", 5);
    auto& fixture = response.fixture;
    fixture.channels.last().crashEngine();
    cr_assert_eq(response.attempts(), 1);
    fixture.advance(1s);
    cr_assert_eq(response.attempts(), 2);
    fixture.channels.last().permit();
    fixture.channels.last().head();
    fixture.channels.last().data("two\n");
    fixture.channels.last().crashEngine();
    fixture.advance(1s);
    cr_assert(response.caller->aborted, "the request is quarantined");
    cr_assert_eq(response.attempts(), 2);
    cr_assert(fixture.start(fixture.poolRequest())->error->code == ErrorCode::Quarantined);
}

// Guards against exhausting the router's memory with a token of unbounded length.
Test(Resume, keepsABoundedPartOfAToken)
{
    StartedResponse response(std::string(StreamPosition::maximumPartialBytes + 1, 'a'));
    response.fixture.channels.last().breakOff();
    cr_assert(response.caller->aborted);
    cr_assert_eq(response.attempts(), 1);
}
