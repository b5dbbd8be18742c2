#include "Weights/Commands/ChunkCommands.h"

#include "Base/Digest.h"

namespace Lavenderloft::Weights::Commands {

namespace {

    bool reserve(ChunkStore& store, uint64_t bytes)
    {
        auto reserved = store.reservedBytes.load();
        do {
            if (bytes > store.budgetBytes - std::min(reserved, store.budgetBytes))
                return false;
        } while (!store.reservedBytes.compare_exchange_weak(reserved, reserved + bytes));
        return true;
    }

    WeightError budgetExceeded(const ChunkStore& store, const Manifest& manifest)
    {
        return { WeightErrorKind::MemoryBudgetExceeded,
            "model " + manifest.model + " version " + manifest.version + " needs " + std::to_string(manifest.distinctBytes) + " bytes and weightMemoryBytes is "
                + std::to_string(store.budgetBytes) + ", of which " + std::to_string(store.reservedBytes.load()) + " are reserved",
            "raise weightMemoryBytes in the settings of the agent or place the model on larger VMs" };
    }

    // Returns false if the chunk is new and does not fit into the memory budget.
    bool retainChunk(ChunkStore& store, const ManifestChunk& chunk, const std::string& manifest)
    {
        return store.chunks.withShard(chunk.digest, [&](auto& entries) {
            auto entry = entries.find(chunk.digest);
            if (entry == entries.end()) {
                if (!reserve(store, chunk.bytes))
                    return false;
                entry = entries.emplace(chunk.digest, StoredChunk { nullptr, chunk.bytes, {} }).first;
            }
            entry->second.manifests.insert(manifest);
            return true;
        });
    }

    void releaseChunk(ChunkStore& store, const std::string& chunkDigest, const std::string& manifest)
    {
        store.chunks.withShard(chunkDigest, [&](auto& entries) {
            auto entry = entries.find(chunkDigest);
            if (entry == entries.end() || !entry->second.manifests.erase(manifest) || !entry->second.manifests.empty())
                return;
            store.reservedBytes -= entry->second.size;
            entries.erase(entry);
        });
    }

} // namespace

Base::Result<Base::Done, WeightError> retainManifest(ChunkStore& store, const Manifest& manifest)
{
    for (auto& chunk : manifest.chunks) {
        if (retainChunk(store, chunk, manifest.digest))
            continue;
        auto error = budgetExceeded(store, manifest);
        releaseManifest(store, manifest);
        return error;
    }
    return Base::Done {};
}

void releaseManifest(ChunkStore& store, const Manifest& manifest)
{
    for (auto& chunk : manifest.chunks)
        releaseChunk(store, chunk.digest, manifest.digest);
}

void releaseUnsharedChunks(ChunkStore& store, const Manifest& manifest, const Manifest& successor)
{
    for (auto& chunk : manifest.chunks) {
        if (!successor.positions.contains(chunk.digest))
            releaseChunk(store, chunk.digest, manifest.digest);
    }
}

Base::Result<Base::Done, WeightError> storeChunk(ChunkStore& store, const std::string& digest, std::string bytes)
{
    if (Base::sha256(bytes) != digest)
        return WeightError { WeightErrorKind::WrongDigest, "the SHA-256 of the received chunk does not match its digest " + digest, "the chunk is fetched again from another source" };
    auto shared = std::make_shared<const std::string>(std::move(bytes));
    return store.chunks.withShard(digest, [&](auto& entries) -> Base::Result<Base::Done, WeightError> {
        auto entry = entries.find(digest);
        if (entry == entries.end())
            return WeightError { WeightErrorKind::NotWanted, "chunk " + digest + " belongs to no wanted manifest", "" };
        entry->second.bytes = std::move(shared);
        return Base::Done {};
    });
}

} // namespace Lavenderloft::Weights::Commands
