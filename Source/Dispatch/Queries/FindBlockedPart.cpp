#include "Dispatch/Queries/FindBlockedPart.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    std::optional<BlockedPart> describe(uint64_t part, const PartRecord& record, Base::TimePoint now)
    {
        auto end = blockEnd(record);
        if (!end || *end <= now)
            return std::nullopt;
        return BlockedPart { part, std::chrono::ceil<std::chrono::milliseconds>(*end - now), record.crashes.size() };
    }

} // namespace

std::optional<Base::TimePoint> blockEnd(const PartRecord& record)
{
    if (!record.blockedAt)
        return std::nullopt;
    auto idleEnd = std::max(*record.blockedAt, record.renewedAt) + PartEvidence::blockPeriod;
    return std::min(idleEnd, *record.blockedAt + PartEvidence::maximumBlock);
}

std::optional<BlockedPart> findBlockedPart(const DispatchState& state, const std::vector<PromptPart>& parts, Base::TimePoint now)
{
    auto& evidence = state.parts();
    if (evidence.blockedCount() == 0)
        return std::nullopt;
    for (auto& part : parts) {
        auto blocked = evidence.records().withShard(part.id, [&](const PartEvidence::Records::Entries& entries) -> std::optional<BlockedPart> {
            auto record = entries.find(part.id);
            return record == entries.end() ? std::nullopt : describe(part.id, record->second, now);
        });
        if (blocked)
            return blocked;
    }
    return std::nullopt;
}

std::vector<BlockedPart> listBlockedParts(const DispatchState& state, Base::TimePoint now)
{
    std::vector<BlockedPart> all;
    if (state.parts().blockedCount() == 0)
        return all;
    state.parts().records().forEach([&](uint64_t part, const PartRecord& record) {
        if (auto blocked = describe(part, record, now))
            all.push_back(*blocked);
    });
    std::sort(all.begin(), all.end(), [](auto& left, auto& right) { return left.part < right.part; });
    return all;
}

} // namespace Lavenderloft::Dispatch::Queries
