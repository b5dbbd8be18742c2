#pragma once

#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lavenderloft::Staging::Queries {

// Fetch from the weight origin.
struct FromOrigin { };

// Fetch from another agent.
struct FromAgent {
    // Address of the agent's VM.
    std::string address;
};

using PieceSource = std::variant<FromOrigin, FromAgent>;

// The agent of another engine of the same service, as a possible source of pieces.
struct SourceAgent {
    std::string address;
    std::string region;
    // The engine has loaded the version, so all pieces are stored there.
    bool hasVersion = false;
};

// Lists the agents of all other engines of the local service.
std::vector<SourceAgent> listSourceAgents(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, uint64_t version);

// This agent's part in fetching a piece that no engine has loaded yet. Ordered by fetch priority: pieces that other
// agents wait for come first.
enum class PieceAssignment {
    // This agent fetches the piece from the origin on behalf of the fleet.
    ForFleet,
    // This agent fetches the piece from another region on behalf of its own region.
    ForRegion,
    // The piece is assigned to another agent of the region.
    None,
};

// Assigns each piece of a version to the agents that fetch it first, according to this agent's view of the fleet.
class PieceAssignments {
public:
    PieceAssignments(const std::vector<SourceAgent>& others, const Fleet::NodeSettings&, const std::string& version, unsigned pieces);

    PieceAssignment ownAssignment(unsigned piece) const;

    // Address of the agent that fetches the piece from the origin.
    const std::string& fleetOwner(unsigned piece) const { return m_fleetOwners[piece]; }
    // Address of the agent that fetches the piece from another region on behalf of this one.
    const std::string& regionOwner(unsigned piece) const { return m_regionOwners[piece]; }

    unsigned pieceCount() const { return static_cast<unsigned>(m_fleetOwners.size()); }

private:
    std::string m_ownAddress;
    std::vector<std::string> m_fleetOwners;
    std::vector<std::string> m_regionOwners;
};

// Returns the source to fetch a piece from. While no engine has loaded the version, one agent of the fleet fetches
// each piece from the origin, one agent of each other region fetches it from that agent, and all others fetch it
// from the agent of their region. The links of the origin and between regions thus carry each piece once.
//
// The caller removes unreachable agents and agents that can't deliver the piece from `others`, and computes
// `assignments` from the remaining ones. Agents may have different views of the fleet; with every removed agent the
// caller gets closer to being assigned the piece itself, so the search ends at the origin.
PieceSource chooseSource(const std::vector<SourceAgent>& others, const Fleet::NodeSettings&, const PieceAssignments&, const std::string& version, unsigned piece);

} // namespace Lavenderloft::Staging::Queries
