#include "Staging/PieceSources.h"

namespace Lavenderloft::Staging {

using Queries::FromAgent;
using Queries::PieceDuties;
using Queries::SourceAgent;

PieceSources::PieceSources(const Fleet::NodeSettings& settings)
    : m_settings(settings)
{
}

void PieceSources::begin(uint64_t version, unsigned pieces)
{
    m_version = std::to_string(version);
    m_pieces = pieces;
    m_refusers.clear();
    m_duties.reset();
}

std::vector<SourceAgent> PieceSources::reachable(std::vector<SourceAgent> others, Base::TimePoint now) const
{
    std::erase_if(others, [&](const SourceAgent& agent) { return m_health.isAvoided(agent.address, now); });
    return others;
}

const PieceDuties& PieceSources::currentDuties(const std::vector<SourceAgent>& reachableAgents, Base::TimePoint now)
{
    if (!m_duties || now - m_dutiesAt >= dutiesLifetime) {
        m_duties.emplace(reachableAgents, m_settings, m_version, m_pieces);
        m_dutiesAt = now;
    }
    return *m_duties;
}

Queries::PieceSource PieceSources::next(const std::vector<SourceAgent>& others, unsigned piece, Base::TimePoint now)
{
    auto agents = reachable(others, now);
    auto& refusers = m_refusers[piece];
    if (refusers.empty())
        return Queries::chooseSource(agents, m_settings, currentDuties(agents, now), m_version, piece);
    std::erase_if(agents, [&](const SourceAgent& agent) { return refusers.contains(agent.address); });
    return Queries::chooseSource(agents, m_settings, PieceDuties(agents, m_settings, m_version, m_pieces), m_version, piece);
}

void PieceSources::note(unsigned piece, const Queries::PieceSource& source, SourceOutcome outcome, Base::TimePoint now)
{
    auto* agent = std::get_if<FromAgent>(&source);
    if (!agent)
        return;
    switch (outcome) {
    case SourceOutcome::Delivered:
        m_health.noteReached(agent->address);
        return;
    case SourceOutcome::NotYet:
        return;
    case SourceOutcome::Disclaimed:
    case SourceOutcome::Spoilt:
        m_refusers[piece].insert(agent->address);
        return;
    case SourceOutcome::Unreachable:
        m_health.noteUnreachable(agent->address, now);
        // Its duties pass to others at once.
        m_duties.reset();
        return;
    }
}

Queries::PieceDuty PieceSources::duty(const std::vector<SourceAgent>& others, unsigned piece, Base::TimePoint now)
{
    return currentDuties(reachable(others, now), now).ownDuty(piece);
}

} // namespace Lavenderloft::Staging
