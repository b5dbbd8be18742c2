#include "Weights/Commands/UploadCommands.h"

#include "Weights/TransferLimits.h"

#include <algorithm>

namespace Lavenderloft::Weights::Commands {

namespace {

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
        return { WeightErrorKind::Busy, "all " + std::to_string(uploadSlots) + " upload slots are taken", "ask another agent or later" };
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

Base::Result<Base::Done, WeightError> startUpload(UploadTable& table, uint64_t number)
{
    std::lock_guard guard(table.lock);
    auto entry = table.uploads.find(number);
    if (entry == table.uploads.end() || entry->second.started)
        return WeightError { WeightErrorKind::NotWanted, "the upload does not wait", "" };
    if (startedUploads(table) >= uploadSlots)
        return busy();
    entry->second.started = true;
    return Base::Done {};
}

void endUpload(UploadTable& table, uint64_t number)
{
    std::lock_guard guard(table.lock);
    table.uploads.erase(number);
}

} // namespace Lavenderloft::Weights::Commands
