#include "Process/DocumentReader.h"

#include "Configuration/Commands/RecordRead.h"
#include "Configuration/Events.h"
#include "Configuration/Queries/ReaderElection.h"
#include "Membership/Queries/LiveMembers.h"
#include "Observability/Log.h"

#include <algorithm>

namespace Lavenderloft::Process {

using namespace std::chrono_literals;
using Configuration::Commands::ReadOutcome;
using Configuration::Commands::RecordRead;
using Configuration::Queries::NextRead;
using Configuration::Queries::ReaderElection;
using Membership::Queries::LiveMembers;

namespace {

    // Bounds of the interval at which the read schedule is checked.
    constexpr Base::Duration minimumReadSleep = 20ms;
    constexpr Base::Duration maximumReadSleep = 500ms;
    // Reported as confirmation age if the service has not confirmed a document yet.
    constexpr auto unconfirmedAge = std::chrono::hours(1);

} // namespace

DocumentReader::DocumentReader(ControlNodeDependencies dependencies, const Membership::MemberTable& table, const Configuration::RevisionStore& revisions, CallGate& gate, AcceptHandler acceptHandler)
    : m_dependencies(dependencies)
    , m_table(table)
    , m_revisions(revisions)
    , m_gate(gate)
    , m_acceptHandler(std::move(acceptHandler))
{
}

void DocumentReader::run()
{
    Base::Duration sleep {};
    while (m_gate.wait(std::chrono::duration_cast<std::chrono::milliseconds>(sleep))) {
        auto plan = NextRead(m_schedule).plan(context());
        auto now = m_dependencies.clock.now();
        if (plan.isDue(now))
            readOnce(plan.kind);
        sleep = std::clamp(plan.at - now, minimumReadSleep, maximumReadSleep);
    }
}

void DocumentReader::restart()
{
    RecordRead(m_schedule, m_dependencies.random).started(m_dependencies.clock.now(), Configuration::Queries::startupPeerCount);
}

void DocumentReader::recordPeerResponse()
{
    RecordRead(m_schedule, m_dependencies.random).peerResponded(m_dependencies.clock.now());
}

void DocumentReader::recordConfirmation(Base::TimePoint at)
{
    RecordRead(m_schedule, m_dependencies.random).confirmed(at);
}

bool DocumentReader::isPeerQueryFinished() const
{
    return NextRead(m_schedule).isPeerQueryFinished(m_dependencies.clock.now());
}

bool DocumentReader::isReader() const
{
    return context().isReader;
}

Base::Duration DocumentReader::confirmationAge() const
{
    auto confirmedAt = m_schedule.state().confirmedAt;
    return confirmedAt ? m_dependencies.clock.now() - *confirmedAt : Base::Duration(unconfirmedAge);
}

void DocumentReader::readOnce(Configuration::Queries::ReadKind kind)
{
    RecordRead record(m_schedule, m_dependencies.random);
    auto previous = m_revisions.current();
    auto revision = previous ? previous->document.revision : 0;
    auto isWatch = kind == Configuration::Queries::ReadKind::Watch;
    m_dependencies.metrics.count("configuration_calls_total", { { "kind", isWatch ? "watch" : "read" } });
    record.callStarted(m_dependencies.clock.now());
    auto result = m_dependencies.source.read(revision, isWatch ? Configuration::Queries::watchTimeout : 0ms);
    if (!Base::succeeded(result)) {
        Observability::logEvent(Configuration::sourceUnavailable, { { "reason", Base::errorOf(result).describe() } });
        record.callEnded(m_dependencies.clock.now(), ReadOutcome::Failed);
        return;
    }
    auto& bytes = Base::valueOf(result);
    if (bytes)
        m_acceptHandler(*bytes);
    auto isNew = m_revisions.current() != previous;
    record.callEnded(m_dependencies.clock.now(), isNew ? ReadOutcome::NewDocument : ReadOutcome::NoNewDocument);
}

Configuration::Queries::ReadContext DocumentReader::context() const
{
    auto members = LiveMembers(m_table).all();
    auto self = LiveMembers(m_table).self();
    ReaderElection election(members);
    return { election.isReader(self.vm, self.dataCentre), election.candidateCount(self.dataCentre), m_fleetSize, m_revisions.current() != nullptr };
}

} // namespace Lavenderloft::Process
