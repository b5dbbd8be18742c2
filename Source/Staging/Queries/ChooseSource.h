#pragma once

#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lavenderloft::Staging::Queries {

// The origin of weights is to be asked.
struct FromOrigin { };

// The agent beside another engine is to be asked; the address of its VM.
struct FromAgent {
    std::string address;
};

using PieceSource = std::variant<FromOrigin, FromAgent>;

// Another engine of the same service, as a possible source of pieces.
struct SourceAgent {
    std::string address;
    std::string region;
    // Its engine has loaded the version, so that all pieces lie there.
    bool holdsVersion = false;
};

// The engines of the service beside the one on this VM, with and without the version.
std::vector<SourceAgent> listSourceAgents(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, uint64_t version);

// How a piece reaches this VM if no engine has loaded the version yet; pieces that others wait for come first.
enum class PieceDuty {
    // This agent fetches it from the origin for the whole fleet.
    ForFleet,
    // This agent fetches it from another region for its own.
    ForRegion,
    // Another agent of the region has the duty.
    None,
};

// Which agent has the duty for each piece of a version, in this agent's view of the fleet.
class PieceDuties {
public:
    PieceDuties(const std::vector<SourceAgent>& others, const Fleet::NodeSettings&, const std::string& version, unsigned pieces);

    PieceDuty ownDuty(unsigned piece) const;

    // Addresses of the agents that take the piece from the origin, and from another region for this one.
    const std::string& fleetOwner(unsigned piece) const { return m_fleetOwners[piece]; }
    const std::string& regionOwner(unsigned piece) const { return m_regionOwners[piece]; }

    unsigned pieceCount() const { return static_cast<unsigned>(m_fleetOwners.size()); }

private:
    std::string m_ownAddress;
    std::vector<std::string> m_fleetOwners;
    std::vector<std::string> m_regionOwners;
};

// From where to fetch a piece. While no engine has loaded the version, one agent of the fleet takes each piece
// from the origin, one of each other region takes it from there, and the rest from the agent of their region:
// the origin's link and those between regions carry each piece once. The caller leaves out agents that can't
// be reached or that can't give the piece: views of the fleet differ, and with each agent that is left out the
// asking one comes closer to the duty. The duties are those among the agents that are left.
PieceSource chooseSource(const std::vector<SourceAgent>& others, const Fleet::NodeSettings&, const PieceDuties&, const std::string& version, unsigned piece);

} // namespace Lavenderloft::Staging::Queries
