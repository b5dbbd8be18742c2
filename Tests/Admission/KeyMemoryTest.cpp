#include "Admission/AdmissionFixture.h"

#include "Admission/Queries/KeyHome.h"
#include "Admission/Queries/KeyVouching.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace Lavenderloft;
using namespace Lavenderloft::Admission;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

std::string makeUuid7(Base::WallTime issued)
{
    auto milliseconds = static_cast<unsigned long long>(std::chrono::duration_cast<std::chrono::milliseconds>(issued.time_since_epoch()).count());
    char text[64];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7abc-8def-0123456789ab", milliseconds >> 16, milliseconds & 0xffff);
    return text;
}

// An agent whose memory of keys began long enough ago for opaque keys.
struct OldMemory : AdmissionFixture {
    OldMemory() { clock.advance(601s); }

    RefusalReason reasonFor(const std::string& attempt, const std::string& key) { return reasonOf(admit(makeRequest(attempt, key))); }
};

} // namespace

// Guards against a second run when a call is resent at once.
Test(KeyMemory, refusesACallThatIsUnderWay)
{
    OldMemory fixture;
    auto request = fixture.makeRequest("a", "key");
    auto permit = std::get<Permit>(fixture.admit(request));
    cr_assert(fixture.reasonFor("b", "key") == RefusalReason::KeyRunning);
    cr_assert(Base::succeeded(Commands::startRequest(fixture.state, request, permit.id, fixture.clock)));
    cr_assert(fixture.reasonFor("c", "key") == RefusalReason::KeyRunning);
    fixture.clock.advance(10s);
    Commands::expireRecords(fixture.state, 600s, fixture.clock);
    cr_assert(fixture.reasonFor("d", "key") == RefusalReason::KeyRunning);
}

// Guards against a second run, or another call's answer, when a call is resent after it completed.
Test(KeyMemory, givesTheStoredAnswerAgain)
{
    OldMemory fixture;
    auto request = fixture.makeRequest("a", "key");
    cr_assert(fixture.run(request));
    auto answer = std::make_shared<StoredAnswer>();
    answer->head.status = 201;
    answer->body = "booked";
    fixture.finish(request, AttemptState::Complete, answer);
    fixture.situation.isLeaving = true;
    auto again = fixture.admit(fixture.makeRequest("b", "key"));
    auto* stored = std::get_if<Commands::StoredAnswerPointer>(&again);
    cr_assert(stored);
    cr_assert((*stored)->body == "booked");
    auto other = fixture.makeRequest("c", "key");
    other.fingerprint = 8;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(other)) == RefusalReason::KeyReused);
}

// Guards against a second run after the target broke off, and against a lost key after one that was never reached.
Test(KeyMemory, remembersUnknownOutcomesAndFreesCallsNotRun)
{
    OldMemory fixture;
    auto broken = fixture.makeRequest("a", "broken");
    cr_assert(fixture.run(broken));
    fixture.finish(broken, AttemptState::Broken);
    cr_assert(fixture.reasonFor("b", "broken") == RefusalReason::KeyOutcomeUnknown);
    auto unreached = fixture.makeRequest("c", "unreached");
    cr_assert(fixture.run(unreached));
    fixture.finish(unreached, AttemptState::NotRun);
    cr_assert(fixture.run(fixture.makeRequest("d", "unreached")));
    auto expired = fixture.makeRequest("e", "expired");
    cr_assert(std::holds_alternative<Permit>(fixture.admit(expired)));
    fixture.clock.advance(2s);
    Commands::expireRecords(fixture.state, 600s, fixture.clock);
    cr_assert(std::holds_alternative<Permit>(fixture.admit(fixture.makeRequest("f", "expired"))));
}

// Guards against a second run after the agent restarted and lost its memory.
Test(KeyMemory, vouchesAfterARestartOnlyForKeysIssuedLater)
{
    AdmissionFixture fixture;
    auto start = fixture.clock.wallTime();
    auto admitKey = [&](const std::string& attempt, const std::string& key) { return AdmissionFixture::reasonOf(fixture.admit(fixture.makeRequest(attempt, key))); };
    fixture.clock.advance(30s);
    cr_assert(admitKey("a", makeUuid7(start - 1s)) == RefusalReason::KeyNotVouched);
    cr_assert(admitKey("b", makeUuid7(start + 5s)) == RefusalReason::KeyNotVouched);
    cr_assert(admitKey("c", makeUuid7(start + 5s + 1ms)) == RefusalReason::Unspecified);
    cr_assert(admitKey("d", makeUuid7(fixture.clock.wallTime() + 6s)) == RefusalReason::KeyNotVouched);
    cr_assert(admitKey("e", "opaque") == RefusalReason::KeyNotVouched);
    fixture.clock.advance(571s);
    cr_assert(admitKey("f", "opaque") == RefusalReason::Unspecified);
}

// Guards against a version 7 key that is run again after its record was forgotten, also when the window is made longer.
Test(KeyMemory, doesNotVouchForWhatItForgot)
{
    OldMemory fixture;
    auto key = makeUuid7(fixture.clock.wallTime());
    auto request = fixture.makeRequest("a", key);
    cr_assert(fixture.run(request));
    fixture.finish(request);
    fixture.clock.advance(601s);
    Commands::expireRecords(fixture.state, 600s, fixture.clock);
    cr_assert_eq(fixture.state.keys.recordCount.load(), 0);
    cr_assert(fixture.reasonFor("b", makeUuid7(fixture.clock.wallTime())) == RefusalReason::Unspecified);
    auto longer = std::make_shared<DesiredState::Document>(*fixture.document);
    longer->services.front().resendWindow = 3600s;
    fixture.situation.document = longer;
    cr_assert(fixture.reasonFor("c", key) == RefusalReason::KeyNotVouched);
    cr_assert(fixture.reasonFor("d", "opaque") == RefusalReason::KeyNotVouched);
}

// Guards against records dropped to make room, which would let a resent call run twice.
Test(KeyMemory, refusesNewKeysWhenFull)
{
    OldMemory fixture;
    fixture.state.keys.maximumRecords = 1;
    auto request = fixture.makeRequest("a", "first");
    cr_assert(fixture.run(request));
    fixture.finish(request);
    cr_assert(fixture.reasonFor("b", "second") == RefusalReason::KeyMemoryFull);
    cr_assert(fixture.reasonFor("c", "first") == RefusalReason::KeyOutcomeUnknown);
}

// Guards against stored answers without bound.
Test(KeyMemory, boundsStoredAnswers)
{
    OldMemory fixture;
    fixture.state.keys.maximumAnswerBytes = 10;
    auto store = [&](const std::string& name, size_t bytes) {
        auto request = fixture.makeRequest(name, name);
        cr_assert(fixture.run(request));
        auto answer = std::make_shared<StoredAnswer>();
        answer->body = std::string(bytes, 'x');
        fixture.finish(request, AttemptState::Complete, answer);
    };
    store("a", 8);
    store("b", 8);
    cr_assert_eq(fixture.state.keys.answerBytes.load(), 8);
    cr_assert(fixture.reasonFor("c", "b") == RefusalReason::KeyOutcomeUnknown);
}

// Guards against two homes of one key, a run while homes move, and calls without a key.
Test(KeyMemory, runsCallsOnlyAtTheirHome)
{
    OldMemory fixture;
    auto moved = std::make_shared<DesiredState::Document>(*fixture.document);
    moved->services.front().vms = { "vm-1", "vm-2", "vm-3" };
    fixture.situation.document = moved;
    fixture.state.permits.occupancy.setLimit(1000);
    int home = 0;
    for (int i = 0; i < 60; ++i) {
        auto key = "key-" + std::to_string(i);
        bool isHome = Queries::keyHome(moved->services.front(), "small", key) == "vm-1";
        home += isHome;
        auto expected = isHome ? RefusalReason::Unspecified : RefusalReason::NotKeyHome;
        cr_assert(fixture.reasonFor("attempt-" + std::to_string(i), key) == expected);
    }
    cr_assert_gt(home, 5);
    cr_assert_lt(home, 40);
    auto paused = std::make_shared<DesiredState::Document>(*fixture.document);
    paused->services.front().paused = true;
    fixture.situation.document = paused;
    cr_assert(fixture.reasonFor("paused", "new-key") == RefusalReason::NotReady);
    auto keyless = fixture.makeRequest("keyless");
    keyless.repeatable = false;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(keyless)) == RefusalReason::KeyRequired);
}
