#include "Staging/Commands/RequeuePiece.h"
#include "Staging/Queries/OrderPieces.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using Queries::PieceAssignment;

namespace {

constexpr unsigned pieceCount = 48;

Fleet::NodeSettings settingsOf(const std::string& address)
{
    Fleet::NodeSettings settings;
    settings.address = address;
    settings.region = "north";
    return settings;
}

std::vector<unsigned> allPieces()
{
    std::vector<unsigned> pieces;
    for (unsigned piece = 0; piece < pieceCount; ++piece)
        pieces.push_back(piece);
    return pieces;
}

Queries::PieceAssignments assignmentsOf(const std::string& address)
{
    std::vector<Queries::SourceAgent> others;
    for (auto& other : { "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4" }) {
        if (other != address)
            others.push_back({ other, other < std::string("10.0.0.3") ? "north" : "south", false });
    }
    return Queries::PieceAssignments(others, settingsOf(address), "2", pieceCount);
}

} // namespace

// Guards against an agent that fetches the pieces that others wait for after those that it could get from others.
Test(FetchQueue, piecesThatOthersWaitForAreTakenFirst)
{
    auto assignments = assignmentsOf("10.0.0.1");
    auto queue = Queries::orderPieces(allPieces(), assignments, "10.0.0.1");
    cr_assert_eq(queue.size(), pieceCount);
    std::vector<PieceAssignment> taken;
    for (auto piece = queue.rbegin(); piece != queue.rend(); ++piece)
        taken.push_back(assignments.ownAssignment(*piece));
    cr_assert(std::is_sorted(taken.begin(), taken.end()));
    cr_assert_eq(taken.front(), PieceAssignment::ForFleet);
    cr_assert_eq(taken.back(), PieceAssignment::None);
    std::sort(queue.begin(), queue.end());
    cr_assert(queue == allPieces(), "each piece is fetched once");
}

// Guards against agents that all request the same piece at once.
Test(FetchQueue, agentsStartAtDifferentPieces)
{
    std::vector<Queries::SourceAgent> none;
    std::set<unsigned> first;
    for (auto& address : { "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4" }) {
        Queries::PieceAssignments assignments(none, settingsOf(address), "2", pieceCount);
        first.insert(Queries::orderPieces(allPieces(), assignments, address).back());
    }
    cr_assert_geq(first.size(), 3);
    cr_assert(Queries::orderPieces({}, assignmentsOf("10.0.0.1"), "10.0.0.1").empty());
}

// Guards against a piece whose source fails that blocks the others, and against other agents that wait for a failed
// piece until the whole queue is done.
Test(FetchQueue, aFailedPieceIsRetriedAfterOthers)
{
    // The queue is processed from its end.
    std::vector<unsigned> queue { 1, 2, 3, 4 };
    Commands::requeuePiece(queue, 9, PieceAssignment::None);
    cr_assert(queue == (std::vector<unsigned> { 9, 1, 2, 3, 4 }));
    Commands::requeuePiece(queue, 8, PieceAssignment::ForFleet);
    cr_assert(queue == (std::vector<unsigned> { 9, 1, 2, 8, 3, 4 }));
    std::vector<unsigned> last;
    Commands::requeuePiece(last, 7, PieceAssignment::ForRegion);
    cr_assert(last == std::vector<unsigned> { 7 });
}
