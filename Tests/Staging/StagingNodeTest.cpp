#include "Staging/ManifestCodec.h"
#include "Staging/TestEngine.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

namespace {

constexpr unsigned lastPiece = TestEngine::pieceCount - 1;

// Calls the function once, when the engine has been read whole for the first time.
void onFirstVerification(TestEngine& engine, std::function<void()> function)
{
    engine.onStoredPieceRead = [&engine, function = std::move(function)](unsigned piece) {
        if (piece != lastPiece || !engine.holdsAllPieces())
            return;
        auto onVerified = function;
        engine.onStoredPieceRead = nullptr;
        onVerified();
    };
}

} // namespace

// Guards against an engine that never receives the declared weights, or that loads a corrupt piece.
Test(StagingNode, fetchesVerifiesAndLoadsTheDeclaredWeights)
{
    TestStaging staging;
    staging.engine.corruptPiece = 3;
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    cr_assert(staging.engine.holdsAllPieces());
    cr_assert_eq(staging.engine.report.layers->version, 2);
    cr_assert_eq(staging.engine.fetches[3], 2, "the corrupt piece is fetched again");
    cr_assert_eq(staging.engine.fetches[0], 1);
}

// Guards against an engine that stays without weights after a restart: its pieces are lost, while the agent still has
// the manifest.
Test(StagingNode, loadsTheWeightsAgainAfterTheEngineRestarted)
{
    TestStaging staging;
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    staging.engine.restart();
    cr_assert(staging.runUntilLoaded(2));
    cr_assert(staging.engine.holdsAllPieces());
    cr_assert_eq(staging.engine.loads, 2);
    staging.engine.restart();
    cr_assert(staging.runUntilLoaded(3), "after each restart, not only the first");
    staging.declare(3);
    cr_assert(staging.runUntilLoaded(4));
    cr_assert_eq(staging.engine.report.layers->version, 3);
}

// Guards against an agent that serves no pieces, or that serves one which the engine has lost or damaged.
Test(StagingNode, servesVerifiedPiecesAndTheirManifest)
{
    TestStaging staging;
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    auto served = staging.requestPiece(encodePiecePath({ "m", 2, 1, "south" }));
    cr_assert_eq(served.status, 200);
    cr_assert(served.body == TestEngine::contentOf(1));
    staging.engine.stored[1] = "damaged";
    cr_assert_eq(staging.requestPiece(encodePiecePath({ "m", 2, 1, "south" })).status, 404);
    cr_assert_eq(staging.requestPiece(encodePiecePath({ "m", 1, 1, "south" })).status, 404);
    cr_assert_eq(staging.requestPiece("/piece/").status, 400);
    Http::HttpRequest request;
    request.target = encodeManifestPath("m", 2);
    auto manifest = decodeManifest(staging.node.handleManifestRequest(request).body);
    cr_assert(manifest.has_value());
    cr_assert_eq(manifest->digests.size(), TestEngine::pieceCount);
    request.target = encodeManifestPath("m", 3);
    cr_assert_eq(staging.node.handleManifestRequest(request).status, 404);
}

// Guards against agents that wait for a piece and meanwhile keep idle connections to the origin, which then rejects the
// agents that are assigned to fetch that piece.
Test(StagingNode, keepsNoIdleConnectionToTheOrigin)
{
    TestStaging staging;
    staging.engine.missingPiece = 3;
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntil([&] { return staging.engine.stored.size() == TestEngine::pieceCount - 1; }));
    cr_assert(staging.runUntil([&] { return staging.engine.openOriginConnections() == 0; }), "connections stay open between attempts");
    staging.engine.missingPiece.reset();
    cr_assert(staging.runUntilLoaded(1));
}

// Guards against an agent that drops a version whose pieces have nearly all arrived when the next one is declared, and
// against one that never loads the next one afterwards.
Test(StagingNode, loadsAVersionThatIsUnderWayBeforeTheNextOne)
{
    TestStaging staging;
    staging.declareInSequence(2, 3, std::chrono::seconds(2));
    staging.node.start();
    cr_assert(staging.runUntilLoaded(2));
    cr_assert(staging.engine.loadedVersions == (std::vector<uint64_t> { 2, 3 }));
}

// Guards against agents without the manifest of a version when the origin returns after an outage: it was reachable when
// the version was declared, but nothing asked for the manifest while the version before was being fetched.
Test(StagingNode, fetchesTheManifestOfADeclaredVersionAtOnce)
{
    TestStaging staging;
    staging.engine.missingPiece = 3;
    staging.declareInSequence(2, 3, std::chrono::seconds(2));
    staging.node.start();
    Http::HttpRequest request;
    request.target = encodeManifestPath("m", 3);
    cr_assert(staging.runUntil([&] { return staging.node.handleManifestRequest(request).status == 200; }));
    cr_assert_eq(staging.engine.loads, 0, "version 2 is incomplete and still wanted");
}

// Guards against an engine that loads a piece which turned bad while the agent was stopped between the verification of
// the pieces and the load request.
Test(StagingNode, verifiesThePiecesAgainAfterItWasStopped)
{
    TestStaging staging;
    onFirstVerification(staging.engine, [&] {
        staging.clock.skip(std::chrono::seconds(4));
        staging.engine.stored[2] = "damaged";
    });
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    cr_assert_eq(staging.engine.brokenLoads, 0);
    cr_assert_eq(staging.engine.fetches[2], 2, "the damaged piece is fetched again");
}

// Guards against an engine that is asked to load pieces which it lost by restarting after their verification.
Test(StagingNode, loadsNothingAtAnEngineThatRestartedAfterTheVerification)
{
    TestStaging staging;
    onFirstVerification(staging.engine, [&] {
        staging.engine.restart();
        staging.engine.closesConnection = true;
    });
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    cr_assert_eq(staging.engine.brokenLoads, 0);
}

// Guards against an engine that loads the pieces of one version as the next one: the version number in the origin's
// manifest was corrupted, and the manifest was kept for the version that it names.
Test(StagingNode, rejectsAManifestThatNamesAnotherVersion)
{
    TestStaging staging;
    staging.engine.corruptManifest = [](PieceManifest& manifest) { manifest.version = 3; };
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    Http::HttpRequest request;
    request.target = encodeManifestPath("m", 3);
    cr_assert_eq(staging.node.handleManifestRequest(request).status, 404, "the manifest of version 2 is kept as that of version 3");
    staging.engine.edition = " of version 3";
    staging.declare(3);
    cr_assert(staging.runUntilLoaded(2));
    cr_assert_eq(staging.engine.brokenLoads, 0);
}

// Guards against an agent that asks for one piece for ever, and an engine that never gets its weights: a digest in the
// origin's manifest was corrupted.
Test(StagingNode, fetchesTheManifestAgainIfTheOriginContradictsIt)
{
    TestStaging staging;
    staging.engine.corruptManifest = [](PieceManifest& manifest) { manifest.digests[3].front() ^= 1; };
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    cr_assert_eq(staging.engine.brokenLoads, 0);
    cr_assert_eq(staging.engine.manifestsRead(), 2);
    cr_assert_eq(staging.engine.fetches[0], 1, "pieces that match are not fetched again");
}

// Guards against verified pieces that are fetched again, and not served to other agents meanwhile, because the engine did
// not answer one read of them.
Test(StagingNode, keepsVerifiedPiecesWhileTheEngineDoesNotAnswer)
{
    TestStaging staging;
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntil([&] { return staging.engine.holdsAllPieces(); }));
    staging.engine.failedReads = 3;
    cr_assert(staging.runUntilLoaded(1));
    cr_assert_eq(staging.engine.failedReads, 0);
    cr_assert_eq(staging.engine.brokenLoads, 0);
    for (unsigned piece = 0; piece < TestEngine::pieceCount; ++piece)
        cr_assert_eq(staging.engine.fetches[piece], 1, "piece %u is fetched again", piece);
}

// Guards against a piece that never arrives because its transfer over a slow link takes longer than a fixed timeout: each
// transfer was dropped before its end, and the next one began anew.
Test(StagingNode, fetchesAPieceOverASlowLink)
{
    TestStaging staging;
    staging.engine.slowPiece = 2;
    staging.engine.slowPieceDelay = StagingContext::originTimeout + std::chrono::milliseconds(500);
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
}
