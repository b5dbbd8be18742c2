#include "Weights/Commands/TransferCommands.h"

#include "Weights/Commands/ChunkCommands.h"
#include "Weights/Queries/ChunkQueries.h"
#include "Weights/Queries/TransferQueries.h"

namespace Lavenderloft::Weights::Commands {

namespace {

    WeightError notWanted(const std::string& manifestDigest)
    {
        return { WeightErrorKind::NotWanted, "manifest " + manifestDigest + " is not wanted", "" };
    }

    void failTransfer(TransferTable& table, const std::string& manifestDigest, const WeightError& error, Base::TimePoint now)
    {
        table.transfers.withShard(manifestDigest, [&](auto& transfers) {
            auto entry = transfers.find(manifestDigest);
            if (entry == transfers.end() || !entry->second.lifeCycle.fail())
                return;
            entry->second.phaseSince = now;
            entry->second.reason = error.describe();
        });
    }

    bool installManifest(TransferTable& table, const std::shared_ptr<const Manifest>& manifest, std::string document, Base::TimePoint now)
    {
        return table.transfers.withShard(manifest->digest, [&](auto& transfers) {
            auto entry = transfers.find(manifest->digest);
            if (entry == transfers.end() || !entry->second.lifeCycle.acceptManifest())
                return false;
            auto& transfer = entry->second;
            transfer.manifest = manifest;
            transfer.document = std::make_shared<const std::string>(std::move(document));
            transfer.held.assign(manifest->chunks.size(), false);
            transfer.phaseSince = now;
            transfer.progressAt = now;
            transfer.reason.clear();
            return true;
        });
    }

    void markHeld(TransferTable& table, const std::string& manifestDigest, const std::string& chunkDigest, Base::TimePoint now)
    {
        table.transfers.withShard(manifestDigest, [&](auto& transfers) {
            auto entry = transfers.find(manifestDigest);
            if (entry == transfers.end() || !entry->second.manifest)
                return;
            auto& transfer = entry->second;
            auto positions = transfer.manifest->positions.find(chunkDigest);
            if (positions == transfer.manifest->positions.end())
                return;
            for (auto index : positions->second) {
                transfer.heldCount += transfer.held[index] ? 0 : 1;
                transfer.held[index] = true;
            }
            transfer.progressAt = now;
            transfer.reason.clear();
            if (transfer.heldCount == transfer.held.size() && transfer.lifeCycle.complete())
                transfer.phaseSince = now;
        });
    }

    // Frees the chunks of withdrawn manifests that the successor does not contain, so that it fits into memory.
    void releaseRetiredChunks(TransferTable& table, ChunkStore& store, const Manifest& successor)
    {
        std::vector<std::shared_ptr<const Manifest>> retired;
        table.retired.forEach([&](auto&, const RetiredManifest& entry) { retired.push_back(entry.manifest); });
        for (auto& manifest : retired)
            releaseUnsharedChunks(store, *manifest, successor);
    }

} // namespace

void beginTransfer(TransferTable& table, const std::string& manifestDigest, unsigned priority, Base::TimePoint now)
{
    table.transfers.withShard(manifestDigest, [&](auto& transfers) {
        auto [entry, isNew] = transfers.try_emplace(manifestDigest);
        entry->second.priority = priority;
        if (isNew)
            entry->second.phaseSince = now;
    });
}

void restartFailedTransfers(TransferTable& table, Base::TimePoint now)
{
    for (auto& manifestDigest : Queries::transferDigests(table)) {
        table.transfers.withShard(manifestDigest, [&](auto& transfers) {
            auto entry = transfers.find(manifestDigest);
            if (entry == transfers.end() || entry->second.lifeCycle.phase() != TransferPhase::Failed)
                return;
            Transfer fresh;
            fresh.priority = entry->second.priority;
            fresh.phaseSince = now;
            entry->second = std::move(fresh);
        });
    }
}

void withdrawTransfer(TransferTable& table, const std::string& manifestDigest, Base::TimePoint now)
{
    auto manifest = table.transfers.withShard(manifestDigest, [&](auto& transfers) -> std::shared_ptr<const Manifest> {
        auto entry = transfers.find(manifestDigest);
        if (entry == transfers.end())
            return nullptr;
        entry->second.lifeCycle.withdraw();
        // Null for a failed transfer, which has reserved no memory.
        auto retired = entry->second.manifest;
        transfers.erase(entry);
        return retired;
    });
    if (manifest)
        table.retired.set(manifestDigest, { manifest, now });
}

void releaseRetired(TransferTable& table, ChunkStore& store, Base::TimePoint withdrawnBefore)
{
    auto hasPending = Queries::hasPendingManifest(table);
    std::vector<std::shared_ptr<const Manifest>> released;
    table.retired.eraseIf([&](auto&, const RetiredManifest& retired) {
        if (hasPending && retired.since >= withdrawnBefore)
            return false;
        released.push_back(retired.manifest);
        return true;
    });
    for (auto& manifest : released) {
        // The version may have become wanted again.
        if (!Queries::manifestOf(table, manifest->digest))
            releaseManifest(store, *manifest);
    }
}

Base::Result<Base::Done, WeightError> acceptManifest(TransferTable& table, ChunkStore& store, const std::string& manifestDigest, std::string document, Base::TimePoint now)
{
    auto parsed = parseManifest(document, manifestDigest);
    if (!Base::succeeded(parsed)) {
        auto& error = Base::errorOf(parsed);
        if (error.kind == WeightErrorKind::MalformedManifest)
            failTransfer(table, manifestDigest, error, now);
        return error;
    }
    auto manifest = std::make_shared<const Manifest>(Base::takeValue(std::move(parsed)));
    auto retained = retainManifest(store, *manifest);
    if (!Base::succeeded(retained)) {
        releaseRetiredChunks(table, store, *manifest);
        retained = retainManifest(store, *manifest);
    }
    if (!Base::succeeded(retained)) {
        failTransfer(table, manifestDigest, Base::errorOf(retained), now);
        return retained;
    }
    if (!installManifest(table, manifest, std::move(document), now)) {
        // A duplicate of the manifest must not release the memory of the first copy.
        if (!Queries::manifestOf(table, manifestDigest))
            releaseManifest(store, *manifest);
        return notWanted(manifestDigest);
    }
    for (auto& [chunkDigest, positions] : manifest->positions) {
        if (Queries::findChunk(store, chunkDigest))
            markHeld(table, manifestDigest, chunkDigest, now);
    }
    return Base::Done {};
}

Base::Result<Base::Done, WeightError> acceptChunk(TransferTable& table, ChunkStore& store, const std::string& chunkDigest, std::string bytes, Base::TimePoint now)
{
    auto stored = storeChunk(store, chunkDigest, std::move(bytes));
    if (!Base::succeeded(stored))
        return stored;
    for (auto& manifestDigest : Queries::transferDigests(table))
        markHeld(table, manifestDigest, chunkDigest, now);
    return Base::Done {};
}

void setDelayReason(TransferTable& table, const std::string& manifestDigest, const std::string& reason)
{
    table.transfers.withShard(manifestDigest, [&](auto& transfers) {
        auto entry = transfers.find(manifestDigest);
        if (entry != transfers.end() && entry->second.lifeCycle.phase() != TransferPhase::Failed)
            entry->second.reason = reason;
    });
}

} // namespace Lavenderloft::Weights::Commands
