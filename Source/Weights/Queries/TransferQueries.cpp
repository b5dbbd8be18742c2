#include "Weights/Queries/TransferQueries.h"

#include <algorithm>

namespace Lavenderloft::Weights::Queries {

namespace {

    // Calls the function with the transfer; returns a default-constructed result if there is none.
    template <typename Function>
    auto withTransfer(const TransferTable& table, const std::string& manifestDigest, Function&& function) -> decltype(function(std::declval<const Transfer&>()))
    {
        return table.transfers.withShard(manifestDigest, [&](const auto& transfers) -> decltype(function(std::declval<const Transfer&>())) {
            auto entry = transfers.find(manifestDigest);
            if (entry == transfers.end())
                return {};
            return function(entry->second);
        });
    }

    TransferStatus statusOf(TransferPhase phase)
    {
        switch (phase) {
        case TransferPhase::FetchingManifest:
        case TransferPhase::FetchingChunks:
            return TransferStatus::Fetching;
        case TransferPhase::Complete:
            return TransferStatus::Complete;
        case TransferPhase::Failed:
            return TransferStatus::Failed;
        case TransferPhase::Stopped:
            return TransferStatus::Unknown;
        }
        return TransferStatus::Unknown;
    }

} // namespace

std::vector<std::string> transferDigests(const TransferTable& table)
{
    std::vector<std::string> digests;
    table.transfers.forEach([&](auto& digest, auto&) { digests.push_back(digest); });
    return digests;
}

std::vector<TransferSnapshot> snapshotTransfers(const TransferTable& table)
{
    std::vector<TransferSnapshot> snapshots;
    table.transfers.forEach([&](auto& digest, const Transfer& transfer) {
        snapshots.push_back({ digest, transfer.priority, transfer.lifeCycle.phase(), transfer.manifest, transfer.held, transfer.phaseSince, transfer.progressAt });
    });
    std::sort(snapshots.begin(), snapshots.end(), [](auto& left, auto& right) {
        return left.priority != right.priority ? left.priority > right.priority : left.digest < right.digest;
    });
    return snapshots;
}

bool hasPendingManifest(const TransferTable& table)
{
    bool pending = false;
    table.transfers.forEach([&](auto&, const Transfer& transfer) { pending = pending || transfer.lifeCycle.phase() == TransferPhase::FetchingManifest; });
    return pending;
}

std::shared_ptr<const Manifest> manifestOf(const TransferTable& table, const std::string& manifestDigest)
{
    return withTransfer(table, manifestDigest, [](const Transfer& transfer) { return transfer.manifest; });
}

std::shared_ptr<const std::string> documentOf(const TransferTable& table, const std::string& manifestDigest)
{
    return withTransfer(table, manifestDigest, [](const Transfer& transfer) { return transfer.document; });
}

ChunkBitmap heldChunks(const TransferTable& table, const std::string& manifestDigest)
{
    return withTransfer(table, manifestDigest, [](const Transfer& transfer) { return transfer.held; });
}

TransferProgress transferProgress(const TransferTable& table, const std::string& manifestDigest)
{
    return withTransfer(table, manifestDigest, [](const Transfer& transfer) {
        return TransferProgress { statusOf(transfer.lifeCycle.phase()), transfer.heldCount, static_cast<unsigned>(transfer.held.size()), transfer.reason };
    });
}

} // namespace Lavenderloft::Weights::Queries
