#include "Staging/PieceSources.h"

namespace Lavenderloft::Staging {

using Queries::FromAgent;
using Queries::PieceAssignments;
using Queries::SourceAgent;

PieceSources::PieceSources(const Fleet::NodeSettings& settings)
    : m_settings(settings)
{
}

void PieceSources::startVersion(uint64_t version, unsigned pieces)
{
    m_version = std::to_string(version);
    m_pieces = pieces;
    m_excludedAgents.clear();
    m_assignments.reset();
}

std::vector<SourceAgent> PieceSources::reachable(std::vector<SourceAgent> others, Base::TimePoint now) const
{
    std::erase_if(others, [&](const SourceAgent& agent) { return m_health.isInBackoff(agent.address, now); });
    return others;
}

const PieceAssignments& PieceSources::currentAssignments(const std::vector<SourceAgent>& reachableAgents, Base::TimePoint now)
{
    if (!m_assignments || now - m_assignmentsAt >= assignmentLifetime) {
        m_assignments.emplace(reachableAgents, m_settings, m_version, m_pieces);
        m_assignmentsAt = now;
    }
    return *m_assignments;
}

Queries::PieceSource PieceSources::nextSource(const std::vector<SourceAgent>& others, unsigned piece, Base::TimePoint now)
{
    auto agents = reachable(others, now);
    auto& excluded = m_excludedAgents[piece];
    std::erase_if(excluded, [&](auto& entry) { return entry.second <= now; });
    if (excluded.empty())
        return Queries::chooseSource(agents, m_settings, currentAssignments(agents, now), m_version, piece);
    std::erase_if(agents, [&](const SourceAgent& agent) { return excluded.contains(agent.address); });
    return Queries::chooseSource(agents, m_settings, PieceAssignments(agents, m_settings, m_version, m_pieces), m_version, piece);
}

void PieceSources::recordOutcome(unsigned piece, const Queries::PieceSource& source, SourceOutcome outcome, Base::TimePoint now)
{
    auto* agent = std::get_if<FromAgent>(&source);
    if (!agent)
        return;
    switch (outcome) {
    case SourceOutcome::Delivered:
        m_health.recordReachable(agent->address);
        return;
    case SourceOutcome::Busy:
        return;
    case SourceOutcome::NotAvailable:
        m_excludedAgents[piece][agent->address] = now + unavailableExclusion;
        return;
    case SourceOutcome::Corrupt:
        m_excludedAgents[piece][agent->address] = now + corruptExclusion;
        return;
    case SourceOutcome::Unreachable:
        m_health.recordUnreachable(agent->address, now);
        // Reassigns its pieces at once.
        m_assignments.reset();
        return;
    }
}

const PieceAssignments& PieceSources::assignments(const std::vector<SourceAgent>& others, Base::TimePoint now)
{
    return currentAssignments(reachable(others, now), now);
}

} // namespace Lavenderloft::Staging
