#include "Base/ManualClock.h"
#include "Bench/RolloutModel.h"
#include "Weights/Commands/ChunkCommands.h"
#include "Weights/Commands/TransferCommands.h"
#include "Weights/Queries/ChunkQueries.h"
#include "Weights/Queries/TransferQueries.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Weights;
using namespace std::chrono_literals;

namespace {

constexpr size_t chunkBytes = 100;

// The transfer table and chunk store of one VM.
struct TransferFixture {
    explicit TransferFixture(uint64_t budget = 1 << 20)
        : store(budget)
    {
    }

    Base::Result<Base::Done, WeightError> begin(const Bench::Model& model)
    {
        Commands::beginTransfer(table, model.digest, 100, clock.now());
        return Commands::acceptManifest(table, store, model.digest, model.document, clock.now());
    }

    void fill(const Bench::Model& model)
    {
        for (auto& [digest, bytes] : model.chunks)
            Commands::acceptChunk(table, store, digest, bytes, clock.now());
    }

    void withdraw(const Bench::Model& model)
    {
        Commands::withdrawTransfer(table, model.digest, clock.now());
        Commands::releaseRetired(table, store, clock.now() - 30s);
    }

    TransferProgress progress(const Bench::Model& model) const { return Queries::transferProgress(table, model.digest); }

    Base::ManualClock clock;
    TransferTable table;
    ChunkStore store;
};

Bench::Model versionOf(const std::string& version)
{
    return Bench::makeModel({ version, 8, chunkBytes, 1, 2 });
}

} // namespace

// Guards against corrupt chunks that are stored or counted as held.
Test(Transfer, refusesACorruptChunk)
{
    TransferFixture fixture;
    auto model = versionOf("1");
    fixture.begin(model);
    auto& [digest, bytes] = *model.chunks.begin();
    auto refused = Commands::acceptChunk(fixture.table, fixture.store, digest, bytes + "x", fixture.clock.now());
    cr_assert_not(Base::succeeded(refused));
    cr_assert(Base::errorOf(refused).kind == WeightErrorKind::WrongDigest);
    cr_assert_null(Queries::findChunk(fixture.store, digest).get());
    cr_assert_eq(fixture.progress(model).chunksHeld, 0);
}

// Guards against a transfer that is reported complete before the last chunk is held.
Test(Transfer, isCompleteWithTheLastChunk)
{
    TransferFixture fixture;
    auto model = versionOf("1");
    fixture.begin(model);
    auto last = *model.chunks.rbegin();
    for (auto& [digest, bytes] : model.chunks) {
        cr_assert(fixture.progress(model).status == TransferStatus::Fetching);
        Commands::acceptChunk(fixture.table, fixture.store, digest, bytes, fixture.clock.now());
    }
    cr_assert(fixture.progress(model).status == TransferStatus::Complete);
}

// Guards against fetching part of a model that exceeds the memory budget, and an error that does not name the setting.
Test(Transfer, namesTheSettingWhenTheModelIsTooLarge)
{
    TransferFixture fixture(8 * chunkBytes - 1);
    auto model = versionOf("1");
    auto begun = fixture.begin(model);
    cr_assert_not(Base::succeeded(begun));
    cr_assert(Base::errorOf(begun).kind == WeightErrorKind::MemoryBudgetExceeded);
    cr_assert(fixture.progress(model).status == TransferStatus::Failed);
    cr_assert(fixture.progress(model).reason.find("weightMemoryBytes") != std::string::npos);
    cr_assert_eq(fixture.store.reservedBytes.load(), 0);
}

// Guards against memory that is not released after a version is withdrawn.
Test(Transfer, freesTheMemoryOfAWithdrawnVersion)
{
    TransferFixture fixture;
    auto model = versionOf("1");
    fixture.begin(model);
    fixture.fill(model);
    fixture.withdraw(model);
    cr_assert_eq(fixture.store.reservedBytes.load(), 0);
    cr_assert_eq(Queries::heldBytes(fixture.store), 0);
    cr_assert(fixture.progress(model).status == TransferStatus::Unknown);
}

// Guards against refetching chunks that the replaced version shares with the new one, also when both versions together
// exceed the memory budget.
Test(Transfer, keepsSharedChunksWhenAVersionIsReplaced)
{
    TransferFixture fixture(10 * chunkBytes);
    auto first = versionOf("1");
    auto second = versionOf("2");
    fixture.begin(first);
    fixture.fill(first);
    Commands::withdrawTransfer(fixture.table, first.digest, fixture.clock.now());
    Commands::beginTransfer(fixture.table, second.digest, 100, fixture.clock.now());
    Commands::releaseRetired(fixture.table, fixture.store, fixture.clock.now() - 30s);
    cr_assert(Base::succeeded(fixture.begin(second)));
    cr_assert_eq(fixture.progress(second).chunksHeld, 4);
    Commands::releaseRetired(fixture.table, fixture.store, fixture.clock.now() - 30s);
    cr_assert_eq(fixture.store.reservedBytes.load(), 8 * chunkBytes);
}

// Guards against a version that remains failed for lack of memory after another one was withdrawn.
Test(Transfer, restartsWhenMemoryBecomesFree)
{
    TransferFixture fixture(8 * chunkBytes);
    auto first = versionOf("1");
    auto second = Bench::makeModel({ "2", 8, chunkBytes, 2, 1 });
    fixture.begin(first);
    cr_assert_not(Base::succeeded(fixture.begin(second)));
    fixture.withdraw(first);
    Commands::restartFailedTransfers(fixture.table, fixture.clock.now());
    cr_assert(fixture.progress(second).status == TransferStatus::Fetching);
    cr_assert(Base::succeeded(fixture.begin(second)));
}

// Guards against chunks of a replaced version that are never released because the new manifest does not arrive.
Test(Transfer, freesAReplacedVersionWhenItsSuccessorDoesNotArrive)
{
    TransferFixture fixture;
    auto first = versionOf("1");
    fixture.begin(first);
    fixture.fill(first);
    Commands::withdrawTransfer(fixture.table, first.digest, fixture.clock.now());
    Commands::beginTransfer(fixture.table, versionOf("2").digest, 100, fixture.clock.now());
    fixture.clock.advance(31s);
    Commands::releaseRetired(fixture.table, fixture.store, fixture.clock.now() - 30s);
    cr_assert_eq(fixture.store.reservedBytes.load(), 0);
}

// Guards against releasing chunks of a base model that an adapter still needs.
Test(Transfer, freesASharedChunkWithItsLastManifest)
{
    TransferFixture fixture;
    auto base = versionOf("1");
    auto adapter = versionOf("2");
    fixture.begin(base);
    fixture.begin(adapter);
    fixture.fill(base);
    cr_assert_eq(fixture.progress(adapter).chunksHeld, 4);
    cr_assert_eq(fixture.store.reservedBytes.load(), 12 * chunkBytes);
    fixture.withdraw(base);
    cr_assert_eq(fixture.progress(adapter).chunksHeld, 4);
    cr_assert_eq(Queries::heldBytes(fixture.store), 4 * chunkBytes);
}
