#include "Routing/Commands/ChargeRetryBudget.h"
#include "Routing/RoutingFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Routing;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> lines { "one\n", "two\n", "three\n", "[DONE]\n" };

// What an engine answers from a token onwards.
std::string answerFrom(uint64_t token)
{
    std::string text;
    for (size_t i = token; i < lines.size(); ++i)
        text += lines[i];
    return text;
}

// A request of which a part has gone to the caller.
struct StartedAnswer {
    explicit StartedAnswer(const std::string& part, unsigned targets = 3)
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

// Guards against an answer that is lost, doubled, or shifted when its stream breaks: at every byte, the caller gets the
// exact whole answer under one head, however the rest arrives.
Test(Resume, givesTheExactAnswerAfterABreakAtAnyByte)
{
    auto whole = answerFrom(0);
    for (size_t length = 1; length <= whole.size(); ++length) {
        for (size_t partBytes : { size_t(1), whole.size() }) {
            StartedAnswer answer(whole.substr(0, length));
            answer.fixture.channels.last().breakOff();
            cr_assert_eq(answer.attempts(), 2);
            auto& second = answer.fixture.channels.last();
            auto token = second.admission.resumeFromToken;
            cr_assert_eq(token, std::min<size_t>(3, static_cast<size_t>(std::count(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(length), '\n'))));
            cr_assert(second.admission.weightsDigest == RoutingFixture::digest);
            cr_assert(second.address != answer.fixture.channels.attempts[0]->address);
            second.permit();
            second.head();
            auto rest = answerFrom(token);
            for (size_t offset = 0; offset < rest.size(); offset += partBytes)
                second.data(rest.substr(offset, partBytes));
            second.end(rest.size());
            cr_assert(answer.caller->whole);
            cr_assert(answer.caller->body == whole, "%s", answer.caller->body.c_str());
            cr_assert_eq(answer.caller->heads, 1);
        }
    }
}

// Guards against a mixed answer when the other target generates other text, or less, than the caller already has.
Test(Resume, cutsAnAnswerThatDiffersFromWhatTheCallerHas)
{
    for (std::string rest : { "tv", "x", "tv\n[DONE]\n" }) {
        StartedAnswer answer("one\ntwo");
        answer.fixture.channels.last().breakOff();
        auto& second = answer.fixture.channels.last();
        second.permit();
        second.head();
        second.data(rest);
        cr_assert(answer.caller->aborted);
        cr_assert(second.cancelled);
        cr_assert(answer.caller->body == "one\ntwo");
    }
    StartedAnswer answer("one\ntwo");
    answer.fixture.channels.last().breakOff();
    answer.fixture.channels.last().permit();
    answer.fixture.channels.last().answer("tw");
    cr_assert(answer.caller->aborted);
    cr_assert_not(answer.caller->whole);
}

// Guards against an answer continued from other weights, and against giving up while a target may come back.
Test(Resume, waitsForATargetWithTheSameDigest)
{
    for (bool comesBack : { true, false }) {
        StartedAnswer answer("one\n");
        auto& fixture = answer.fixture;
        for (auto& member : fixture.members) {
            if (member.vm.starts_with("t"))
                member.replicas[0].servingDigest = "d2";
        }
        fixture.update();
        fixture.channels.last().breakOff();
        fixture.pass(1s);
        cr_assert_eq(answer.attempts(), 1);
        cr_assert_not(answer.caller->isOver());
        if (comesBack)
            fixture.members[2].replicas[0].servingDigest = RoutingFixture::digest;
        fixture.update();
        fixture.pass(1s);
        cr_assert_eq(answer.attempts(), comesBack ? 2 : 1);
        if (comesBack) {
            fixture.channels.last().permit();
            fixture.channels.last().answer(answerFrom(1));
        }
        fixture.pass(30s);
        cr_assert_eq(answer.caller->whole, comesBack);
        cr_assert_eq(answer.caller->aborted, !comesBack);
        cr_assert(answer.caller->body == (comesBack ? answerFrom(0) : "one\n"));
    }
}

// Guards against a stream that is given up because every target is busy for a moment.
Test(Resume, waitsForAFreeSlot)
{
    StartedAnswer answer("one\n");
    answer.fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.refuse(RefusalKind::AtLimit); };
    answer.fixture.channels.last().breakOff();
    cr_assert_not(answer.caller->isOver());
    answer.fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.permit(); };
    answer.fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.answer(answerFrom(attempt.admission.resumeFromToken)); };
    answer.fixture.pass(1s);
    cr_assert(answer.caller->whole);
    cr_assert(answer.caller->body == answerFrom(0));
}

// Guards against a stream that is given up because the router does not know yet that the VMs it asks are gone.
Test(Resume, waitsWhileNoTargetCanBeReached)
{
    StartedAnswer answer("one\n", 1);
    answer.fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.breakOff(); };
    answer.fixture.channels.last().breakOff();
    for (int i = 0; i < 20; ++i)
        answer.fixture.pass(200ms);
    cr_assert_not(answer.caller->isOver());
    cr_assert_leq(answer.attempts(), 1 + 20);
    answer.fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.permit(); };
    answer.fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.answer(answerFrom(attempt.admission.resumeFromToken)); };
    answer.fixture.pass(200ms);
    cr_assert(answer.caller->whole);
    cr_assert(answer.caller->body == answerFrom(0));
}

// Guards against resumes that multiply the traffic while targets fail.
Test(Resume, isPaidFromTheRetryBudget)
{
    StartedAnswer answer("one\n");
    while (Base::succeeded(Commands::chargeRetry(answer.fixture.retryBudget))) { }
    answer.fixture.channels.last().breakOff();
    cr_assert(answer.caller->aborted);
    cr_assert_eq(answer.attempts(), 1);
}

// Guards against a request that breaks one target after the other without end, with or without progress.
Test(Resume, isBoundedForEachRequest)
{
    StartedAnswer answer("one\n", 10);
    while (!answer.caller->isOver()) {
        cr_assert_leq(answer.attempts(), 1 + Queries::maximumResumes);
        answer.fixture.channels.last().permit();
        answer.fixture.channels.last().head();
        answer.fixture.channels.last().data("more\n");
        answer.fixture.channels.last().breakOff();
    }
    cr_assert(answer.caller->aborted);
    cr_assert_eq(answer.attempts(), 1 + Queries::maximumResumes);
}

// Guards against the start of an answer in the middle of it, from engines that do not know the resume header.
Test(Resume, takesNothingFromAnEngineThatDoesNotConfirm)
{
    StartedAnswer answer("one\n", 10);
    answer.fixture.channels.last().breakOff();
    while (!answer.caller->isOver()) {
        auto& attempt = answer.fixture.channels.last();
        attempt.permit();
        attempt.events->head({ attempt.id(), 200, {}, RoutingFixture::digest, false, 0 });
        cr_assert(attempt.cancelled);
        attempt.data(answerFrom(0));
    }
    cr_assert(answer.caller->aborted);
    cr_assert(answer.caller->body == "one\n");
    cr_assert_eq(answer.attempts(), 1 + Queries::maximumResumes);
}

// Guards against a request that escapes the quarantine because its answer was resumed after each crash, and against
// answers that follow it at once to the next target, which would hide which of them is to blame.
Test(Resume, countsAsCrashEvidence)
{
    StartedAnswer answer("one\n", 5);
    auto& fixture = answer.fixture;
    fixture.channels.last().crashEngine();
    cr_assert_eq(answer.attempts(), 1);
    fixture.pass(1s);
    cr_assert_eq(answer.attempts(), 2);
    fixture.channels.last().permit();
    fixture.channels.last().head();
    fixture.channels.last().data("two\n");
    fixture.channels.last().crashEngine();
    fixture.pass(1s);
    cr_assert(answer.caller->aborted, "the request is quarantined");
    cr_assert_eq(answer.attempts(), 2);
    cr_assert(fixture.start(fixture.poolRequest())->error->code == ErrorCode::Quarantined);
}

// Guards against a token without end that fills the router's memory.
Test(Resume, keepsABoundedPartOfAToken)
{
    StartedAnswer answer(std::string(StreamPosition::maximumPartialBytes + 1, 'a'));
    answer.fixture.channels.last().breakOff();
    cr_assert(answer.caller->aborted);
    cr_assert_eq(answer.attempts(), 1);
}
