#include "Weights/Commands/UploadCommands.h"

#include "Weights/TransferLimits.h"

#include <algorithm>

namespace Lavenderloft::Weights::Commands {

namespace {

    // Each upload moves the average by the difference divided by this number.
    constexpr int meanDurationWeight = 8;

    size_t waitingUploads(const UploadTable& table, bool isRemote)
    {
        return std::count_if(table.uploads.begin(), table.uploads.end(), [&](auto& entry) { return !entry.second.started && entry.second.isRemote == isRemote; });
    }

    size_t startedUploads(const UploadTable& table)
    {
        return std::count_if(table.uploads.begin(), table.uploads.end(), [](auto& entry) { return entry.second.started; });
    }

    WeightError busy()
    {
        return { WeightErrorKind::Busy, "all " + std::to_string(uploadSlots) + " upload slots are taken", "ask another agent or retry later" };
    }

} // namespace

Base::Result<Base::Done, WeightError> enqueueUpload(UploadTable& table, uint64_t number, Upload upload)
{
    std::lock_guard guard(table.lock);
    if (waitingUploads(table, upload.isRemote) >= maximumWaitingUploads)
        return busy();
    upload.started = false;
    table.uploads.insert_or_assign(number, std::move(upload));
    return Base::Done {};
}

Base::Result<Base::Done, WeightError> startUpload(UploadTable& table, uint64_t number, Base::TimePoint now)
{
    std::lock_guard guard(table.lock);
    auto entry = table.uploads.find(number);
    if (entry == table.uploads.end() || entry->second.started)
        return WeightError { WeightErrorKind::NotWanted, "the upload is not queued", "" };
    if (startedUploads(table) >= uploadSlots)
        return busy();
    entry->second.started = true;
    entry->second.startedAt = now;
    return Base::Done {};
}

void endUpload(UploadTable& table, uint64_t number, Base::TimePoint now)
{
    std::lock_guard guard(table.lock);
    auto entry = table.uploads.find(number);
    if (entry == table.uploads.end())
        return;
    if (entry->second.started) {
        auto duration = now - entry->second.startedAt;
        bool first = table.meanDuration == Base::Duration::zero();
        table.meanDuration = first ? duration : table.meanDuration + (duration - table.meanDuration) / meanDurationWeight;
    }
    table.uploads.erase(entry);
}

} // namespace Lavenderloft::Weights::Commands
