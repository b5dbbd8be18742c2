#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Configuration/Commands/RecordRead.h"
#include "Configuration/Queries/NextRead.h"
#include "Configuration/Queries/ReaderElection.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdio>
#include <deque>
#include <numeric>

using namespace Lavenderloft;
using namespace Lavenderloft::Configuration;
using namespace std::chrono_literals;
using Commands::ReadOutcome;
using Commands::RecordRead;
using Queries::NextRead;
using Queries::ReadContext;
using Queries::ReaderElection;
using Queries::ReadKind;

namespace {

// Fleet of the two-year plan, 890 routers and 6,700 agents in 20 data centres, and the rate limit of the service.
constexpr size_t plannedProcesses = 7590;
constexpr size_t plannedDataCentres = 20;
constexpr size_t serviceCallsPerSecond = 2000;
constexpr auto step = 100ms;
constexpr size_t stepsPerSecond = 10;

Membership::Member makeMember(size_t index, size_t dataCentre)
{
    Membership::Member member;
    member.vm = "vm-" + std::to_string(index);
    member.dataCentre = "dc-" + std::to_string(dataCentre);
    return member;
}

// Simulates the schedules of a fleet on one clock and counts the calls in each step.
class Fleet {
public:
    explicit Fleet(size_t size)
        : m_schedules(size)
        , contexts(size)
    {
        for (auto& schedule : m_schedules)
            RecordRead(schedule, m_random).started(clock.now(), 0);
    }

    void confirmAll()
    {
        for (auto& schedule : m_schedules)
            RecordRead(schedule, m_random).confirmed(clock.now());
    }

    // Advances the clock by `duration`. Each read ends after `latency`, each watch after `watchLatency`.
    void run(std::chrono::milliseconds duration, std::chrono::milliseconds latency, std::chrono::milliseconds watchLatency, ReadOutcome outcome)
    {
        for (auto passed = 0ms; passed < duration; passed += step) {
            calls.push_back(0);
            for (size_t i = 0; i < m_schedules.size(); ++i)
                advance(i, latency, watchLatency, outcome);
            clock.advance(step);
        }
    }

    // Maximum number of calls in any `steps` consecutive steps.
    size_t maximumCallsWithin(size_t steps) const
    {
        size_t most = 0;
        for (size_t first = 0; first + steps <= calls.size(); ++first)
            most = std::max(most, std::accumulate(calls.begin() + first, calls.begin() + first + steps, size_t { 0 }));
        return most;
    }

    size_t totalCalls() const { return std::accumulate(calls.begin(), calls.end(), size_t { 0 }); }

    Base::ManualClock clock;

private:
    void advance(size_t index, std::chrono::milliseconds latency, std::chrono::milliseconds watchLatency, ReadOutcome outcome)
    {
        auto now = clock.now();
        RecordRead record(m_schedules[index], m_random);
        auto state = m_schedules[index].state();
        bool isWatch = contexts[index].isReader;
        if (state.isCalling && now - *state.lastCallStartedAt >= (isWatch ? watchLatency : latency))
            record.callEnded(now, outcome);
        auto plan = NextRead(m_schedules[index]).plan(contexts[index]);
        if (!plan.isDue(now))
            return;
        record.callStarted(now);
        ++calls.back();
    }

    Base::SeededRandom m_random { 11 };
    std::deque<ReadSchedule> m_schedules;

public:
    std::vector<ReadContext> contexts;
    std::vector<size_t> calls;
};

// Makes readersPerDataCentre processes of each data centre readers.
void electReaders(Fleet& fleet)
{
    for (size_t i = 0; i < fleet.contexts.size(); ++i)
        fleet.contexts[i] = { i < plannedDataCentres * Queries::readersPerDataCentre, plannedProcesses / plannedDataCentres, plannedProcesses, true };
}

} // namespace

// Guards against a data centre without a reader after readers failed, became suspect or left.
Test(ReaderElection, nextInRankReplacesAFailedReader)
{
    std::vector<Membership::Member> members;
    for (size_t i = 0; i < 380; ++i)
        members.push_back(makeMember(i, i % 2));
    auto find = [&](const std::string& vm) { return std::find_if(members.begin(), members.end(), [&](auto& member) { return member.vm == vm; }); };
    auto first = ReaderElection(members).readersOf("dc-0");
    cr_assert_eq(first.size(), 2);
    cr_assert(find(first[0])->dataCentre == "dc-0");

    find(first[0])->status = Membership::Status::Dead;
    auto second = ReaderElection(members).readersOf("dc-0");
    cr_assert(second[0] == first[1] && second[1] != first[0]);

    find(second[0])->status = Membership::Status::Suspect;
    find(second[1])->status = Membership::Status::Leaving;
    auto third = ReaderElection(members).readersOf("dc-0");
    cr_assert(third.size() == 2 && third[0] != first[0] && third[0] != second[0] && third[0] != second[1]);
    cr_assert(ReaderElection(members).isReader(third[1], "dc-0"));
    cr_assert_not(ReaderElection(members).isReader(second[0], "dc-0"));

    // The election in the other data centre is unaffected and independent of the order of the members.
    auto others = ReaderElection(members).readersOf("dc-1");
    std::reverse(members.begin(), members.end());
    cr_assert(ReaderElection(members).readersOf("dc-1") == others);
}

// Guards against a restarted process that accepts an outdated document from the service before it queried its peers.
Test(NextRead, aStartedProcessQueriesItsPeersFirst)
{
    Base::ManualClock clock;
    Base::SeededRandom random(3);
    ReadSchedule schedule;
    RecordRead record(schedule, random);
    NextRead next(schedule);
    ReadContext context { true, 6, 20, false };
    auto start = clock.now();
    record.started(start, Queries::startupPeerCount);
    cr_assert(next.plan(context).at == start + 3s, "the query of unresponsive peers must time out after 3 s");

    clock.advance(100ms);
    record.peerResponded(clock.now());
    record.peerResponded(clock.now());
    cr_assert_not(next.isPeerQueryFinished(clock.now()));
    record.peerResponded(clock.now());
    cr_assert(next.isPeerQueryFinished(clock.now()));
    cr_assert(next.plan(context).isDue(clock.now()));

    // A pause restarts the query, also with so few candidates that calls without a new document are 10 s apart.
    record.callStarted(clock.now());
    record.callEnded(clock.now(), ReadOutcome::Failed);
    clock.advance(1h);
    record.started(clock.now(), 1);
    cr_assert_not(next.isPeerQueryFinished(clock.now()));
    cr_assert(next.plan(context).at == clock.now() + 3s);
    context.candidateCount = 1;
    cr_assert(next.plan(context).at == clock.now() + 3s);
    clock.advance(3s);
    cr_assert(next.isPeerQueryFinished(clock.now()));
}

// Guards against a process that does not call the service after confirmations stopped, or that calls it although
// they arrive.
Test(NextRead, callsTheServiceWhenConfirmationsStop)
{
    Base::ManualClock clock;
    Base::SeededRandom random(3);
    ReadSchedule schedule;
    RecordRead record(schedule, random);
    NextRead next(schedule);
    ReadContext context { false, 6, 20, true };
    record.started(clock.now(), 0);
    for (int i = 0; i < 10; ++i) {
        clock.advance(10s);
        record.confirmed(clock.now() - 1s);
        cr_assert_not(next.plan(context).isDue(clock.now()));
    }
    // A delayed confirmation with an earlier time has no effect.
    record.confirmed(clock.now() - 30s);
    auto plan = next.plan(context);
    cr_assert(plan.kind == ReadKind::Read);
    cr_assert(plan.at >= clock.now() + 14s && plan.at <= clock.now() + 14s + 100ms, "the jitter window of a fleet of 20 must be at most 100 ms");

    clock.advance(15s);
    cr_assert(next.plan(context).isDue(clock.now()));
    record.callStarted(clock.now());
    cr_assert(next.plan(context).kind == ReadKind::None);
    record.callEnded(clock.now(), ReadOutcome::Failed);
    cr_assert(next.plan(context).at >= clock.now() + 10s);
}

// Guards against a corrected document that is delayed by a reader's backoff, and against a reader that calls
// continuously when the service responds to watches immediately.
Test(NextRead, aReaderLimitsItsBackoff)
{
    Base::ManualClock clock;
    Base::SeededRandom random(3);
    ReadSchedule schedule;
    RecordRead record(schedule, random);
    NextRead next(schedule);
    ReadContext context { true, 6, 20, true };
    record.started(clock.now(), 0);
    std::vector<Base::Duration> gaps;
    for (auto outcome : { ReadOutcome::NewDocument, ReadOutcome::NoNewDocument, ReadOutcome::Failed, ReadOutcome::Failed, ReadOutcome::NewDocument }) {
        record.callStarted(clock.now());
        record.callEnded(clock.now(), outcome);
        auto plan = next.plan(context);
        cr_assert(plan.kind == ReadKind::Watch);
        gaps.push_back(plan.at - clock.now());
        clock.advance(plan.at - clock.now());
    }
    cr_assert(gaps == std::vector<Base::Duration>({ 1s, 2s, 4s, 4s, 1s }));
}

// Guards against an idle fleet that overloads the service. 40 readers with watches of 10 s make 4 calls per second.
Test(ReadLoad, anIdleFleetMakesFourCallsASecond)
{
    Fleet fleet(plannedProcesses);
    electReaders(fleet);
    for (int i = 0; i < 6; ++i) {
        fleet.confirmAll();
        fleet.run(10s, step, Queries::watchTimeout, ReadOutcome::NoNewDocument);
    }
    std::printf("idle: %zu calls in 60 s\n", fleet.totalCalls());
    cr_assert_leq(fleet.totalCalls(), 240);
    cr_assert_geq(fleet.totalCalls(), 200);
}

// Guards against a fleet that exceeds the rate limit of the service when the service fails and the confirmations of
// all processes time out simultaneously.
Test(ReadLoad, aFailedServiceIsNotOverloaded)
{
    Fleet fleet(plannedProcesses);
    electReaders(fleet);
    fleet.confirmAll();
    fleet.run(60s, step, step, ReadOutcome::Failed);
    auto perSecond = fleet.maximumCallsWithin(stepsPerSecond);
    auto perInterval = fleet.maximumCallsWithin(10 * stepsPerSecond);
    std::printf("service down: at most %zu calls in 1 s, %zu in 10 s\n", perSecond, perInterval);
    cr_assert_leq(perSecond, serviceCallsPerSecond);
    // One call of each process, and calls of the readers after 1, 2 and then every 4 s.
    cr_assert_leq(perInterval, plannedProcesses + 40 * 5);
    // Every process keeps calling the service.
    cr_assert_geq(fleet.totalCalls(), 3 * plannedProcesses);
}

// Guards against overloading the service when all processes start simultaneously, reach no peer and therefore all
// elect themselves readers.
Test(ReadLoad, isolatedProcessesDoNotOverloadTheService)
{
    for (auto outcome : { ReadOutcome::Failed, ReadOutcome::NoNewDocument }) {
        Fleet fleet(plannedProcesses);
        for (auto& context : fleet.contexts)
            context = { true, 1, 0, false };
        fleet.run(60s, step, outcome == ReadOutcome::Failed ? std::chrono::milliseconds(step) : Queries::watchTimeout, outcome);
        auto perSecond = fleet.maximumCallsWithin(stepsPerSecond);
        std::printf("all isolated: at most %zu calls in 1 s, %zu in 10 s\n", perSecond, fleet.maximumCallsWithin(10 * stepsPerSecond));
        cr_assert_leq(perSecond, serviceCallsPerSecond);
        cr_assert_leq(fleet.maximumCallsWithin(10 * stepsPerSecond), plannedProcesses);
    }
}
