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

// The engines of the service beside the one at `ownAddress`, with and without the version.
std::vector<SourceAgent> listSourceAgents(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, uint64_t version);

// From where to fetch a piece on the given attempt, counted from zero. One agent of the fleet takes each
// piece from the origin, one of each other region takes it from there, and the rest from the agent of their
// region: the origin's link and those between regions carry each piece once. Later attempts spread over
// other agents, and every third goes to the origin.
PieceSource chooseSource(const std::vector<SourceAgent>& others, const Fleet::NodeSettings&, const std::string& version, unsigned piece, unsigned attempt);

} // namespace Lavenderloft::Staging::Queries
