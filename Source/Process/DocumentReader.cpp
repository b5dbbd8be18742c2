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

    // Bounds of the sleep between two looks at the schedule of reads.
    constexpr Base::Duration leastReadSleep = 20ms;
    constexpr Base::Duration greatestReadSleep = 500ms;
    // Stands for a document that the service has never confirmed here.
    constexpr auto neverConfirmed = std::chrono::hours(1);

} // namespace

DocumentReader::DocumentReader(ControlNodeDependencies parts, const Membership::MemberTable& table, const Configuration::RevisionStore& revisions, CallGate& gate, Accept accept)
    : m_parts(parts)
    , m_table(table)
    , m_revisions(revisions)
    , m_gate(gate)
    , m_accept(std::move(accept))
{
}

void DocumentReader::run()
{
    Base::Duration sleep {};
    while (m_gate.wait(std::chrono::duration_cast<std::chrono::milliseconds>(sleep))) {
        auto plan = NextRead(m_schedule).plan(context());
        auto now = m_parts.clock.now();
        if (plan.isDue(now))
            readOnce(plan.kind);
        sleep = std::clamp(plan.at - now, leastReadSleep, greatestReadSleep);
    }
}

void DocumentReader::restart()
{
    RecordRead(m_schedule, m_parts.random).started(m_parts.clock.now(), Configuration::Queries::startupPeerCount);
}

void DocumentReader::notePeerAnswered()
{
    RecordRead(m_schedule, m_parts.random).peerAnswered(m_parts.clock.now());
}

void DocumentReader::noteConfirmed(Base::TimePoint at)
{
    RecordRead(m_schedule, m_parts.random).confirmed(at);
}

bool DocumentReader::isPeerQueryFinished() const
{
    return NextRead(m_schedule).isPeerQueryFinished(m_parts.clock.now());
}

bool DocumentReader::isReader() const
{
    return context().isReader;
}

Base::Duration DocumentReader::confirmationAge() const
{
    auto confirmedAt = m_schedule.state().confirmedAt;
    return confirmedAt ? m_parts.clock.now() - *confirmedAt : Base::Duration(neverConfirmed);
}

void DocumentReader::readOnce(Configuration::Queries::ReadKind kind)
{
    RecordRead record(m_schedule, m_parts.random);
    auto before = m_revisions.current();
    auto revision = before ? before->document.revision : 0;
    auto isWatch = kind == Configuration::Queries::ReadKind::Watch;
    m_parts.metrics.count("configuration_calls_total", { { "kind", isWatch ? "watch" : "read" } });
    record.callStarted(m_parts.clock.now());
    auto result = m_parts.source.read(revision, isWatch ? Configuration::Queries::watchTimeout : 0ms);
    if (!Base::succeeded(result)) {
        Observability::logEvent(Configuration::sourceUnavailable, { { "reason", Base::errorOf(result).describe() } });
        record.callEnded(m_parts.clock.now(), ReadOutcome::Failed);
        return;
    }
    auto& bytes = Base::valueOf(result);
    if (bytes)
        m_accept(*bytes);
    auto isNew = m_revisions.current() != before;
    record.callEnded(m_parts.clock.now(), isNew ? ReadOutcome::NewDocument : ReadOutcome::NoNewDocument);
}

Configuration::Queries::ReadContext DocumentReader::context() const
{
    auto all = LiveMembers(m_table).all();
    auto own = LiveMembers(m_table).self();
    ReaderElection election(all);
    return { election.isReader(own.vm, own.dataCentre), election.candidateCount(own.dataCentre), m_fleetSize, m_revisions.current() != nullptr };
}

} // namespace Lavenderloft::Process
