#pragma once

#include "Base/Clock.h"
#include "Staging/Queries/ChooseSource.h"
#include "Staging/SourceHealth.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Staging {

// How an attempt to get a piece from a source ended.
enum class SourceOutcome {
    Delivered,
    // The source fetches the piece itself, or has too many to send.
    NotYet,
    // The agent does not have the piece and not the duty to fetch it.
    Disclaimed,
    // What it gave does not have the digest of the manifest.
    Spoilt,
    Unreachable,
};

// Remembers how sources answered while the pieces of one version are fetched, so that no piece is asked for
// again and again where it can't be had: each refusal leads closer to the origin.
class PieceSources {
public:
    explicit PieceSources(const Fleet::NodeSettings&);

    // Starts with the pieces of a version anew.
    void begin(uint64_t version, unsigned pieces);

    // Where to ask for the piece next.
    Queries::PieceSource next(const std::vector<Queries::SourceAgent>& others, unsigned piece, Base::TimePoint now);

    void note(unsigned piece, const Queries::PieceSource&, SourceOutcome, Base::TimePoint now);

    // This agent's duty for the piece among the agents that can be reached.
    Queries::PieceDuty duty(const std::vector<Queries::SourceAgent>& others, unsigned piece, Base::TimePoint now);

private:
    // Dealing the duties for all pieces is costly, and they change only with the fleet.
    static constexpr std::chrono::milliseconds dutiesLifetime { 500 };

    std::vector<Queries::SourceAgent> reachable(std::vector<Queries::SourceAgent> others, Base::TimePoint now) const;
    const Queries::PieceDuties& currentDuties(const std::vector<Queries::SourceAgent>& reachableAgents, Base::TimePoint now);

    const Fleet::NodeSettings& m_settings;
    std::string m_version;
    unsigned m_pieces = 0;
    SourceHealth m_health;
    // Agents that can't give a piece, by piece.
    std::map<unsigned, std::set<std::string>> m_refusers;
    std::optional<Queries::PieceDuties> m_duties;
    Base::TimePoint m_dutiesAt {};
};

} // namespace Lavenderloft::Staging
