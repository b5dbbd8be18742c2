#include "Staging/Queries/ExpectPiece.h"

namespace Lavenderloft::Staging::Queries {

bool canServePiece(const std::optional<PieceChecklist>& checklist, uint64_t heldVersion, const PieceName& name)
{
    if (checklist && checklist->manifest().version == name.version)
        return name.piece < checklist->pieceCount() && checklist->isPresent(name.piece);
    // An engine that started with its weights has pieces for which this agent has no manifest.
    return heldVersion == name.version;
}

PieceExpectation expectPiece(const std::optional<DesiredWeights>& desired, const std::optional<PieceChecklist>& checklist, const PieceName& name)
{
    if (!desired || desired->declared.version > name.version)
        return PieceExpectation::None;
    bool hasManifest = checklist && checklist->manifest().version == name.version;
    if (desired->declared.version < name.version || !hasManifest)
        return PieceExpectation::OnceFetchingStarts;
    return name.piece < checklist->pieceCount() ? PieceExpectation::IfAssigned : PieceExpectation::None;
}

bool isAssignedFor(PieceAssignment assignment, const std::string& requestingRegion, const std::string& ownRegion)
{
    switch (assignment) {
    case PieceAssignment::ForFleet:
        return true;
    case PieceAssignment::ForRegion:
        return requestingRegion == ownRegion;
    case PieceAssignment::None:
        break;
    }
    return false;
}

} // namespace Lavenderloft::Staging::Queries
