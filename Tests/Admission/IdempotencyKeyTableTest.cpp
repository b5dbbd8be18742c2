#include "Admission/AdmissionFixture.h"

#include "Admission/Queries/KeyFreshness.h"
#include "Admission/Queries/KeyHome.h"

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

// An agent that has recorded keys for longer than the resend window, so that it accepts opaque keys.
struct EstablishedTable : AdmissionFixture {
    EstablishedTable() { clock.advance(601s); }

    RefusalReason reasonFor(const std::string& attempt, const std::string& key) { return reasonOf(admit(makeRequest(attempt, key))); }
};

} // namespace

// Guards against a second run of a call that is resent while it is in progress.
Test(IdempotencyKeyTable, refusesACallInProgress)
{
    EstablishedTable fixture;
    auto request = fixture.makeRequest("a", "key");
    auto permit = std::get<Permit>(fixture.admit(request));
    cr_assert(fixture.reasonFor("b", "key") == RefusalReason::KeyRunning);
    cr_assert(Base::succeeded(Commands::startRequest(fixture.state, request, permit.id, fixture.clock)));
    cr_assert(fixture.reasonFor("c", "key") == RefusalReason::KeyRunning);
    fixture.clock.advance(10s);
    Commands::expireRecords(fixture.state, 600s, fixture.clock);
    cr_assert(fixture.reasonFor("d", "key") == RefusalReason::KeyRunning);
}

// Guards against a second run of a call that is resent after it completed, and against returning its response to a
// different call.
Test(IdempotencyKeyTable, returnsTheStoredResponse)
{
    EstablishedTable fixture;
    auto request = fixture.makeRequest("a", "key");
    cr_assert(fixture.run(request));
    auto response = std::make_shared<StoredResponse>();
    response->head.status = 201;
    response->body = "booked";
    fixture.finish(request, AttemptState::Complete, response);
    fixture.context.isLeaving = true;
    auto again = fixture.admit(fixture.makeRequest("b", "key"));
    auto* stored = std::get_if<Commands::StoredResponsePointer>(&again);
    cr_assert(stored);
    cr_assert((*stored)->body == "booked");
    auto other = fixture.makeRequest("c", "key");
    other.fingerprint = 8;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(other)) == RefusalReason::KeyReused);
}

// Guards against a second run after the target broke off, and against blocking the key of a call that did not reach
// the target.
Test(IdempotencyKeyTable, keepsUnknownOutcomesAndReleasesCallsNotRun)
{
    EstablishedTable fixture;
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

// Guards against a second run after a restart of the agent, which loses all records.
Test(IdempotencyKeyTable, acceptsOnlyKeysIssuedAfterARestart)
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

// Guards against a second run after the record of a key, a UUID of version 7, was removed, even if the resend window is
// extended later.
Test(IdempotencyKeyTable, refusesKeysOfRemovedRecords)
{
    EstablishedTable fixture;
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
    fixture.context.document = longer;
    cr_assert(fixture.reasonFor("c", key) == RefusalReason::KeyNotVouched);
    cr_assert(fixture.reasonFor("d", "opaque") == RefusalReason::KeyNotVouched);
}

// Guards against evicting records when the table is full, after which a resent call would run twice.
Test(IdempotencyKeyTable, refusesNewKeysWhenFull)
{
    EstablishedTable fixture;
    fixture.state.keys.maximumRecords = 1;
    auto request = fixture.makeRequest("a", "first");
    cr_assert(fixture.run(request));
    fixture.finish(request);
    cr_assert(fixture.reasonFor("b", "second") == RefusalReason::KeyMemoryFull);
    cr_assert(fixture.reasonFor("c", "first") == RefusalReason::KeyOutcomeUnknown);
}

// Guards against storing responses without limit.
Test(IdempotencyKeyTable, boundsStoredResponses)
{
    EstablishedTable fixture;
    fixture.state.keys.maximumResponseBytes = 10;
    auto store = [&](const std::string& name, size_t bytes) {
        auto request = fixture.makeRequest(name, name);
        cr_assert(fixture.run(request));
        auto response = std::make_shared<StoredResponse>();
        response->body = std::string(bytes, 'x');
        fixture.finish(request, AttemptState::Complete, response);
    };
    store("a", 8);
    store("b", 8);
    cr_assert_eq(fixture.state.keys.responseBytes.load(), 8);
    cr_assert(fixture.reasonFor("c", "b") == RefusalReason::KeyOutcomeUnknown);
}

// Guards against running calls on a VM other than their home, while the service is paused, or without a key.
Test(IdempotencyKeyTable, runsCallsOnlyAtTheirHome)
{
    EstablishedTable fixture;
    auto moved = std::make_shared<DesiredState::Document>(*fixture.document);
    moved->services.front().vms = { "vm-1", "vm-2", "vm-3" };
    fixture.context.document = moved;
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
    fixture.context.document = paused;
    cr_assert(fixture.reasonFor("paused", "new-key") == RefusalReason::NotReady);
    auto keyless = fixture.makeRequest("keyless");
    keyless.repeatable = false;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(keyless)) == RefusalReason::KeyRequired);
}

namespace {

// Callers that follow the rules: they resend a call only within the resend window after its first use, and their clock
// skew is within the bound. The agent restarts, permits expire and runs break off at random.
class ResendingCallers {
public:
    explicit ResendingCallers(uint64_t seed)
        : m_random(seed)
    {
        m_fixture.document->services.front().resendWindow = m_window;
        restart();
    }

    // Returns the largest number of runs of any key.
    int run()
    {
        for (int step = 0; step < 2000; ++step)
            takeStep();
        return m_mostRuns;
    }

    int replays() const { return m_replays; }

private:
    struct Call {
        std::string key;
        Base::TimePoint firstUsed;
        int runs = 0;
    };

    struct Running {
        AdmissionRequest request;
        std::string permitId;
        bool hasStarted = false;
    };

    void restart()
    {
        m_running.clear();
        m_state = std::make_unique<TargetState>(++m_incarnation, m_fixture.clock);
        m_state->permits.occupancy.setByteLimit(1000);
        Commands::configureLimit(m_state->limit, { 8, 8, 1000ms });
        Commands::applyEngineCondition(*m_state, { true, 1, {}, true, true }, m_fixture.clock);
    }

    void takeStep()
    {
        m_fixture.clock.advance(std::chrono::milliseconds(m_random.nextBelow(1500)));
        if (!m_random.nextBelow(200))
            return restart();
        auto choice = m_random.nextBelow(100);
        if (choice < 5)
            return Commands::expireRecords(*m_state, m_window, m_fixture.clock);
        if (choice < 30 && !m_running.empty())
            return advanceOne();
        send(choice < 60 || m_calls.empty() ? newCall() : m_random.nextBelow(m_calls.size()));
    }

    size_t newCall()
    {
        auto skew = std::chrono::milliseconds(m_random.nextBelow(9998)) - 4999ms;
        bool isVersion7 = m_random.nextBelow(2);
        auto key = isVersion7 ? makeUuid7(m_fixture.clock.wallTime() + skew) : "opaque";
        // Opaque keys need a suffix to be unique.
        key += isVersion7 ? "" : std::to_string(m_calls.size());
        for (auto& call : m_calls) {
            if (call.key == key)
                return m_random.nextBelow(m_calls.size());
        }
        m_calls.push_back({ key, m_fixture.clock.now() });
        return m_calls.size() - 1;
    }

    void send(size_t index)
    {
        if (m_calls.empty() || m_fixture.clock.now() - m_calls[index].firstUsed >= m_window)
            return;
        auto request = m_fixture.makeRequest("attempt-" + std::to_string(++m_attempts), m_calls[index].key);
        request.fingerprint = index;
        m_waiter = std::make_shared<RecordingWaiter>("", m_fixture.grants);
        auto result = Commands::admitRequest(*m_state, m_fixture.context, request, m_waiter, m_fixture.clock, m_fixture.random);
        if (auto* permit = std::get_if<Permit>(&result))
            m_running.push_back({ request, permit->id });
        m_replays += std::holds_alternative<Commands::StoredResponsePointer>(result);
    }

    // Starts a call that has a permit, or ends a running one.
    void advanceOne()
    {
        auto index = m_random.nextBelow(m_running.size());
        auto& running = m_running[index];
        if (!running.hasStarted && Base::succeeded(Commands::startRequest(*m_state, running.request, running.permitId, m_fixture.clock))) {
            running.hasStarted = true;
            m_mostRuns = std::max(m_mostRuns, ++m_calls[running.request.fingerprint].runs);
            return;
        }
        if (running.hasStarted)
            finish(running.request);
        m_running.erase(m_running.begin() + static_cast<long>(index));
    }

    void finish(const AdmissionRequest& request)
    {
        auto outcome = m_random.nextBelow(3) ? AttemptState::Complete : AttemptState::Broken;
        auto response = outcome == AttemptState::Complete ? std::make_shared<StoredResponse>() : nullptr;
        Commands::finishRequest(*m_state, request, { outcome, true, response }, m_fixture.clock);
    }

    AdmissionFixture m_fixture;
    Base::SeededRandom m_random;
    std::unique_ptr<TargetState> m_state;
    std::shared_ptr<RecordingWaiter> m_waiter;
    std::chrono::milliseconds m_window { 60000 };
    uint64_t m_incarnation = 0;
    std::vector<Call> m_calls;
    std::vector<Running> m_running;
    int m_attempts = 0;
    int m_mostRuns = 0;
    int m_replays = 0;
};

} // namespace

// Guards against sequences of resends, expired permits, broken runs and restarts in which a call runs twice.
Test(IdempotencyKeyTable, noCallRunsTwiceInRandomSequences)
{
    int replays = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        ResendingCallers callers(seed);
        cr_assert_eq(callers.run(), 1, "a call ran twice, or none ran, with seed %lu", seed);
        replays += callers.replays();
    }
    cr_assert_gt(replays, 0);
}

// Guards against a second run of a call that ran at its previous home before the VMs of the service changed.
Test(IdempotencyKeyTable, refusesKeysOfAnEarlierHome)
{
    EstablishedTable fixture;
    auto publishVms = [&](std::vector<std::string> vms) {
        auto changed = std::make_shared<DesiredState::Document>(*fixture.document);
        changed->services.front().vms = std::move(vms);
        fixture.context.document = changed;
        return changed->services.front();
    };
    auto before = publishVms({ "vm-1", "vm-2" });
    std::string moved;
    for (int i = 0; moved.empty(); ++i) {
        if (Queries::keyHome(before, "small", std::to_string(i)) == "vm-2")
            moved = std::to_string(i);
    }
    cr_assert(fixture.reasonFor("a", moved) == RefusalReason::NotKeyHome);
    publishVms({ "vm-2", "vm-1" });
    cr_assert(fixture.reasonFor("b", moved) == RefusalReason::NotKeyHome);
    publishVms({ "vm-1" });
    cr_assert(fixture.reasonFor("c", moved) == RefusalReason::KeyNotVouched);
    cr_assert(fixture.reasonFor("d", makeUuid7(fixture.clock.wallTime())) == RefusalReason::KeyNotVouched);

    fixture.clock.advance(documentPropagationBound + 2 * clockSkewBound);
    cr_assert(std::holds_alternative<Permit>(fixture.admit(fixture.makeRequest("e", makeUuid7(fixture.clock.wallTime())))));
    cr_assert(fixture.reasonFor("f", moved) == RefusalReason::KeyNotVouched);
    fixture.clock.advance(fixture.document->services.front().resendWindow);
    cr_assert(std::holds_alternative<Permit>(fixture.admit(fixture.makeRequest("g", moved))));
}
