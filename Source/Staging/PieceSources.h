#pragma once

#include "Base/Clock.h"
#include "Staging/Queries/ChooseSource.h"
#include "Staging/SourceHealth.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Staging {

// Outcome of one attempt to fetch a piece.
enum class SourceOutcome {
    Delivered,
    // The source is still fetching the piece, or its upload queue is full.
    Busy,
    // The agent does not have the piece and is not assigned to fetch it.
    NotAvailable,
    // The digest of the received bytes does not match the manifest.
    Corrupt,
    Unreachable,
};

// Selects the source of each piece of one version, and excludes agents that proved unable to deliver it. Every such
// failure narrows the choice, so that a piece is requested from the origin in the end, instead of again and again from
// an agent that can't deliver it.
class PieceSources {
public:
    explicit PieceSources(const Fleet::NodeSettings&);

    // Discards the outcomes recorded so far and starts a version.
    void startVersion(uint64_t version, unsigned pieces);

    // The source to request the piece from next.
    Queries::PieceSource nextSource(const std::vector<Queries::SourceAgent>& others, unsigned piece, Base::TimePoint now);

    void recordOutcome(unsigned piece, const Queries::PieceSource&, SourceOutcome, Base::TimePoint now);

    // The assignments of all pieces, among the agents that are reachable. Valid until the next call.
    const Queries::PieceAssignments& assignments(const std::vector<Queries::SourceAgent>& others, Base::TimePoint now);

private:
    // An agent without a piece may have it later, for example once the origin is reachable again.
    static constexpr std::chrono::milliseconds unavailableExclusion { 2000 };
    static constexpr std::chrono::hours corruptExclusion { 1 };
    // Computing the assignments of all pieces is expensive, and they change only with the fleet.
    static constexpr std::chrono::milliseconds assignmentLifetime { 500 };

    std::vector<Queries::SourceAgent> reachable(std::vector<Queries::SourceAgent> others, Base::TimePoint now) const;
    const Queries::PieceAssignments& currentAssignments(const std::vector<Queries::SourceAgent>& reachableAgents, Base::TimePoint now);

    const Fleet::NodeSettings& m_settings;
    std::string m_version;
    unsigned m_pieces = 0;
    SourceHealth m_health;
    // Agents that can't deliver a piece, with the end of their exclusion, by piece.
    std::map<unsigned, std::map<std::string, Base::TimePoint>> m_excludedAgents;
    std::optional<Queries::PieceAssignments> m_assignments;
    Base::TimePoint m_assignmentsAt {};
};

} // namespace Lavenderloft::Staging
