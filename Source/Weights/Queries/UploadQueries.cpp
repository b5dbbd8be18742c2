#include "Weights/Queries/UploadQueries.h"

#include "Weights/TransferLimits.h"

#include <algorithm>
#include <set>

namespace Lavenderloft::Weights::Queries {

namespace {

    struct Candidate {
        uint64_t number = 0;
        unsigned priority = 0;
        bool isRemote = false;
        std::string region;
    };

    // The queued uploads by priority, then other regions first, then in order of arrival.
    std::vector<Candidate> waitingUploads(const UploadTable& table)
    {
        std::vector<Candidate> waiting;
        for (auto& [number, upload] : table.uploads) {
            if (!upload.started)
                waiting.push_back({ number, upload.priority, upload.isRemote, upload.region });
        }
        std::stable_sort(waiting.begin(), waiting.end(), [](auto& left, auto& right) { return std::pair(left.priority, left.isRemote) > std::pair(right.priority, right.isRemote); });
        return waiting;
    }

} // namespace

std::vector<uint64_t> uploadsToStart(const UploadTable& table, const LinkLimiter& limiter, Base::TimePoint now)
{
    std::lock_guard guard(table.lock);
    auto waiting = waitingUploads(table);
    auto started = table.uploads.size() - waiting.size();
    std::vector<uint64_t> numbers;
    // Start at most one upload for each region per call; its bytes must be accounted for before the next one.
    std::set<std::string> regions;
    for (auto& candidate : waiting) {
        if (started + numbers.size() >= uploadSlots)
            break;
        if (!regions.contains(candidate.region) && limiter.startDelay(candidate.region, now) <= Base::Duration::zero()) {
            regions.insert(candidate.region);
            numbers.push_back(candidate.number);
        }
    }
    return numbers;
}

std::vector<uint64_t> overdueUploads(const UploadTable& table, Base::TimePoint now)
{
    std::lock_guard guard(table.lock);
    std::vector<uint64_t> numbers;
    for (auto& [number, upload] : table.uploads) {
        if (!upload.started && now - upload.requestedAt >= uploadQueueTimeout)
            numbers.push_back(number);
    }
    return numbers;
}

unsigned freeUploadSlots(const UploadTable& table)
{
    std::lock_guard guard(table.lock);
    return uploadSlots - std::min<unsigned>(uploadSlots, static_cast<unsigned>(table.uploads.size()));
}

std::chrono::milliseconds slotExpectedIn(const UploadTable& table)
{
    std::lock_guard guard(table.lock);
    auto waiting = std::count_if(table.uploads.begin(), table.uploads.end(), [](auto& entry) { return !entry.second.started && !entry.second.isRemote; });
    if (static_cast<size_t>(waiting) < maximumWaitingUploads)
        return std::chrono::milliseconds::zero();
    auto expected = std::chrono::ceil<std::chrono::milliseconds>(table.meanDuration / uploadSlots);
    return std::clamp(expected, minimumSlotWait, uploadQueueTimeout);
}

Upload findUpload(const UploadTable& table, uint64_t number)
{
    std::lock_guard guard(table.lock);
    auto entry = table.uploads.find(number);
    return entry == table.uploads.end() ? Upload {} : entry->second;
}

} // namespace Lavenderloft::Weights::Queries
