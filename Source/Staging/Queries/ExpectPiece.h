#pragma once

#include "Staging/DesiredWeights.h"
#include "Staging/PieceChecklist.h"
#include "Staging/PieceName.h"
#include "Staging/Queries/ChooseSource.h"

#include <optional>
#include <string>

namespace Lavenderloft::Staging::Queries {

// Whether a requested piece can be read from the local engine. `heldVersion` is the version that the engine has loaded.
bool canServePiece(const std::optional<PieceChecklist>&, uint64_t heldVersion, const PieceName&);

// Whether another agent may wait for a piece that this agent can't serve yet.
enum class PieceExpectation {
    None,
    // This agent has no manifest of the version yet. The piece is expected if it can fetch the manifest and the pieces.
    OnceFetchingStarts,
    // The piece is expected if this agent is assigned to fetch it for the requesting agent.
    IfAssigned,
};

// `desired` is what the local engine should have loaded; empty if that is unknown.
PieceExpectation expectPiece(const std::optional<DesiredWeights>& desired, const std::optional<PieceChecklist>&, const PieceName&);

// Whether the assignment covers a requesting agent of the region. An agent of another region may wait only for the agent
// that fetches the piece from the origin: otherwise two agents, each of which considers the other one assigned, would
// wait for each other forever.
bool isAssignedFor(PieceAssignment, const std::string& requestingRegion, const std::string& ownRegion);

} // namespace Lavenderloft::Staging::Queries
