#include "Staging/Queries/ExpectPiece.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using Queries::PieceAssignment;
using Queries::PieceExpectation;

namespace {

// Of the two pieces of version 2, the first is present.
std::optional<PieceChecklist> makeChecklist()
{
    PieceChecklist checklist({ "m", 2, { "digest", "digest" } });
    checklist.markPresent(0);
    return checklist;
}

std::optional<DesiredWeights> desiredVersion(uint64_t version)
{
    DesiredWeights desired;
    desired.model = "m";
    desired.declared.version = version;
    return desired;
}

PieceName pieceOf(uint64_t version, unsigned piece)
{
    return { "m", version, piece, "north" };
}

} // namespace

// Guards against serving a piece that is not verified, and against refusing the pieces of an engine that started with
// its weights.
Test(CanServePiece, servesVerifiedPiecesAndThoseOfTheLoadedVersion)
{
    cr_assert(Queries::canServePiece(makeChecklist(), 1, pieceOf(2, 0)));
    cr_assert_not(Queries::canServePiece(makeChecklist(), 1, pieceOf(2, 1)));
    cr_assert_not(Queries::canServePiece(makeChecklist(), 2, pieceOf(2, 1)), "the checklist is more recent than the load");
    cr_assert_not(Queries::canServePiece(makeChecklist(), 1, pieceOf(2, 2)));
    cr_assert(Queries::canServePiece(makeChecklist(), 1, pieceOf(1, 1)));
    cr_assert(Queries::canServePiece(std::nullopt, 2, pieceOf(2, 1)));
    cr_assert_not(Queries::canServePiece(std::nullopt, 0, pieceOf(2, 1)));
}

// Guards against an agent that lets others wait for a version that it will not fetch.
Test(ExpectPiece, dependsOnTheDesiredVersionAndTheManifest)
{
    cr_assert_eq(Queries::expectPiece(desiredVersion(2), makeChecklist(), pieceOf(2, 1)), PieceExpectation::IfAssigned);
    cr_assert_eq(Queries::expectPiece(desiredVersion(2), makeChecklist(), pieceOf(2, 2)), PieceExpectation::None, "no such piece");
    cr_assert_eq(Queries::expectPiece(desiredVersion(2), std::nullopt, pieceOf(2, 1)), PieceExpectation::OnceFetchingStarts);
    cr_assert_eq(Queries::expectPiece(desiredVersion(3), makeChecklist(), pieceOf(3, 1)), PieceExpectation::OnceFetchingStarts);
    cr_assert_eq(Queries::expectPiece(desiredVersion(2), makeChecklist(), pieceOf(3, 1)), PieceExpectation::OnceFetchingStarts, "this agent has not learned of the version yet");
    cr_assert_eq(Queries::expectPiece(desiredVersion(3), makeChecklist(), pieceOf(2, 1)), PieceExpectation::None, "the version was replaced");
    cr_assert_eq(Queries::expectPiece(std::nullopt, makeChecklist(), pieceOf(2, 1)), PieceExpectation::None);
}

// Guards against two agents of different regions that wait for each other forever.
Test(ExpectPiece, otherRegionsWaitOnlyForTheAgentThatAsksTheOrigin)
{
    cr_assert(Queries::isAssignedFor(PieceAssignment::ForFleet, "north", "south"));
    cr_assert(Queries::isAssignedFor(PieceAssignment::ForRegion, "south", "south"));
    cr_assert_not(Queries::isAssignedFor(PieceAssignment::ForRegion, "north", "south"));
    cr_assert_not(Queries::isAssignedFor(PieceAssignment::None, "south", "south"));
}
