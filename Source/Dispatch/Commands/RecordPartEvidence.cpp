#include "Dispatch/Commands/RecordPartEvidence.h"

#include "Dispatch/Commands/ServeQueue.h"
#include "Dispatch/Queries/FindBlockedPart.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;
    using Entries = PartEvidence::Records::Entries;

    // How long the other routers are told of a response that clears a part of a crash.
    constexpr std::chrono::milliseconds announceServedPeriod = 1000ms;

    using Crashes = std::vector<PartCrash>;

    // Returns the record of the part, adding it if needed; null if there are too many.
    PartRecord* findOrAdd(bool isFull, Entries& entries, uint64_t part)
    {
        auto known = entries.find(part);
        if (known != entries.end())
            return &known->second;
        return isFull ? nullptr : &entries[part];
    }

    template <typename Function>
    void withRecord(DispatchState& state, uint64_t part, size_t maximumParts, Function&& function)
    {
        auto& records = state.parts().records();
        bool isFull = records.size() >= maximumParts;
        records.withShard(part, [&](Entries& entries) {
            if (auto* record = findOrAdd(isFull, entries, part))
                function(*record);
        });
    }

    bool isSameCrash(const PartCrash& left, const PartCrash& right)
    {
        auto difference = left.at < right.at ? right.at - left.at : left.at - right.at;
        return left.target == right.target && difference < PartEvidence::sameCrashWindow;
    }

    // The crashes of the part that have neither a common cause nor an explanation in another part.
    Crashes separateCrashes(const PartRecord& record, const Crashes& explained)
    {
        Crashes separate;
        for (auto& crash : record.crashes) {
            bool hasCommonCause = !separate.empty() && crash.at - separate.back().at < PartEvidence::commonCauseWindow;
            bool isExplained = std::any_of(explained.begin(), explained.end(), [&](auto& other) { return isSameCrash(crash, other); });
            if (!hasCommonCause && !isExplained)
                separate.push_back(crash);
        }
        return separate;
    }

    bool isIncriminated(const PartRecord& record, const Crashes& explained)
    {
        auto crashes = separateCrashes(record, explained);
        if (crashes.empty())
            return false;
        if (record.wasBlocked)
            return true;
        if (!record.isKnownSound())
            return crashes.size() >= PartEvidence::crashesToBlock;
        auto span = crashes.back().at - crashes.front().at;
        return crashes.size() >= PartEvidence::crashesToBlockKnownSound && span >= PartEvidence::knownSoundMinimumSpan;
    }

    // Crashes of the blocked parts.
    Crashes explainedCrashes(const DispatchState& state)
    {
        Crashes explained;
        if (state.parts().blockedCount() == 0)
            return explained;
        state.parts().records().forEach([&](uint64_t, const PartRecord& record) {
            if (record.blockedAt)
                explained.insert(explained.end(), record.crashes.begin(), record.crashes.end());
        });
        return explained;
    }

    struct Suspect {
        uint64_t part = 0;
        PartRecord record;
    };

    // Whether the crashes are more likely due to the left part than to the right one: a part without any response, then
    // the one with most crashes, then the one that fewer requests share.
    bool isMoreSuspect(const Suspect& left, const Suspect& right)
    {
        if (left.record.isKnownSound() != right.record.isKnownSound())
            return !left.record.isKnownSound();
        if (left.record.crashes.size() != right.record.crashes.size())
            return left.record.crashes.size() > right.record.crashes.size();
        return left.record.position > right.record.position;
    }

    std::vector<Suspect> findSuspects(const DispatchState& state, std::vector<uint64_t> parts)
    {
        std::sort(parts.begin(), parts.end());
        parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
        std::vector<Suspect> suspects;
        for (auto part : parts) {
            auto record = state.parts().records().find(part);
            if (record && !record->blockedAt && !record->crashes.empty())
                suspects.push_back({ part, std::move(*record) });
        }
        std::sort(suspects.begin(), suspects.end(), isMoreSuspect);
        return suspects;
    }

    void unblock(PartEvidence& evidence, PartRecord& record)
    {
        if (record.blockedAt)
            evidence.uncountBlocked();
        record.blockedAt.reset();
    }

    // Blocks those of the parts to which crashes point that no other part explains.
    void blockIncriminated(DispatchState& state, std::vector<uint64_t> parts, Base::TimePoint now)
    {
        auto& evidence = state.parts();
        auto explained = explainedCrashes(state);
        for (auto& suspect : findSuspects(state, std::move(parts))) {
            bool isBlocked = evidence.records().withShard(suspect.part, [&](Entries& entries) {
                auto record = entries.find(suspect.part);
                if (record == entries.end() || record->second.blockedAt || !isIncriminated(record->second, explained))
                    return false;
                if (!evidence.tryCountBlocked())
                    return false;
                record->second.blockedAt = now;
                return true;
            });
            if (isBlocked)
                explained.insert(explained.end(), suspect.record.crashes.begin(), suspect.record.crashes.end());
        }
    }

    void insertCrash(PartRecord& record, PartCrash crash)
    {
        auto same = std::find_if(record.crashes.begin(), record.crashes.end(), [&](auto& other) { return isSameCrash(other, crash); });
        if (same != record.crashes.end()) {
            if (!same->confirmedAt)
                same->confirmedAt = crash.confirmedAt;
            return;
        }
        auto position = std::upper_bound(record.crashes.begin(), record.crashes.end(), crash.at, [](auto time, auto& other) { return time < other.at; });
        record.crashes.insert(position, std::move(crash));
        if (record.crashes.size() > PartEvidence::maximumCrashesPerPart)
            record.crashes.erase(record.crashes.begin());
    }

    void addCrash(DispatchState& state, uint64_t part, uint32_t position, PartCrash crash, Base::TimePoint now)
    {
        withRecord(state, part, PartEvidence::maximumParts, [&](PartRecord& record) {
            record.position = std::max(record.position, position);
            record.lastCrashAt = std::max(record.lastCrashAt, crash.at);
            if (!crash.confirmedAt)
                record.reportedElsewhereAt = now;
            if (record.isKnownSound())
                record.announceServedUntil = now + announceServedPeriod;
            // A part of a request that was served later cannot have caused the crash.
            if (record.isKnownSound() && record.servedAt >= crash.at)
                return;
            if (record.blockedAt && !crash.confirmedAt)
                record.renewedAt = now;
            insertCrash(record, std::move(crash));
        });
    }

    void clear(PartEvidence& evidence, PartRecord& record, Base::TimePoint servedAt)
    {
        record.servedAt = std::max(record.servedAt, servedAt);
        std::erase_if(record.crashes, [&](auto& crash) { return crash.at <= record.servedAt; });
        if (!record.crashes.empty())
            return;
        unblock(evidence, record);
        record.wasBlocked = false;
    }

    void mergeServed(DispatchState& state, const PartServedReport& report, Base::TimePoint now)
    {
        auto servedAt = now - report.age;
        withRecord(state, report.part, PartEvidence::maximumServedParts, [&](PartRecord& record) {
            record.announcedServedAt = std::max(record.announcedServedAt, servedAt);
            clear(state.parts(), record, servedAt);
        });
    }

    void expireBlock(PartEvidence& evidence, PartRecord& record, Base::TimePoint now)
    {
        auto end = Queries::blockEnd(record);
        if (!end || *end > now)
            return;
        unblock(evidence, record);
        record.wasBlocked = true;
        record.crashes.clear();
    }

    bool isExpired(const PartRecord& record, Base::TimePoint now)
    {
        if (record.blockedAt)
            return false;
        auto lastCrash = record.crashes.empty() ? Base::TimePoint() : record.crashes.back().at;
        auto lastEvidence = std::max(lastCrash, record.wasBlocked ? record.renewedAt : Base::TimePoint());
        return now - std::max(record.servedAt, lastEvidence) > PartEvidence::retention;
    }

} // namespace

void recordPartCrash(DispatchState& state, const std::vector<uint64_t>& parts, const std::string& target, Base::TimePoint brokeAt, Base::TimePoint now)
{
    uint32_t position = 0;
    for (auto part : parts)
        addCrash(state, part, position++, { target, brokeAt, now }, now);
    blockIncriminated(state, parts, now);
}

void recordPartsServed(DispatchState& state, const std::vector<PromptPart>& parts, Base::TimePoint now)
{
    for (auto& part : parts) {
        withRecord(state, part.id, PartEvidence::maximumServedParts, [&](PartRecord& record) {
            if (!record.crashes.empty())
                record.announceServedUntil = now + announceServedPeriod;
            clear(state.parts(), record, now);
        });
    }
}

void recordPartRefused(DispatchState& state, uint64_t part, Base::TimePoint now)
{
    state.parts().records().withShard(part, [&](Entries& entries) {
        auto record = entries.find(part);
        if (record == entries.end() || !record->second.blockedAt)
            return;
        record->second.refusedAt = now;
        record->second.renewedAt = now;
    });
}

void mergePartReports(DispatchState& state, const PartReports& reports, Base::TimePoint now)
{
    for (auto& served : reports.served) {
        if (served.age <= PartEvidence::retention)
            mergeServed(state, served, now);
    }
    std::vector<uint64_t> parts;
    for (auto& crash : reports.crashes) {
        if (crash.age > PartEvidence::retention)
            continue;
        addCrash(state, crash.part, crash.position, { crash.target, now - crash.age, std::nullopt }, now);
        parts.push_back(crash.part);
    }
    blockIncriminated(state, std::move(parts), now);
}

void refuseBlockedWaiting(DispatchState& state, Base::TimePoint now)
{
    auto blocked = Queries::listBlockedParts(state, now);
    if (blocked.empty())
        return;
    auto findBlocked = [&](const RequestTraits& traits) {
        return std::find_if(blocked.begin(), blocked.end(), [&](auto& entry) {
            return std::any_of(traits.sharedParts.begin(), traits.sharedParts.end(), [&](auto& part) { return part.id == entry.part; });
        });
    };
    std::vector<uint64_t> refused;
    state.forEachService([&](const std::string&, ServiceState& service) {
        std::erase_if(service.waiting, [&](WaitingRequest& waiting) {
            auto found = findBlocked(waiting.traits);
            if (found == blocked.end())
                return false;
            refused.push_back(found->part);
            releaseCharges(service, waiting);
            waiting.observer->waitEnded(Refusal { RefusalReason::BlockedPart, found->remaining });
            return true;
        });
    });
    for (auto part : refused)
        recordPartRefused(state, part, now);
}

void expirePartEvidence(DispatchState& state, Base::TimePoint now)
{
    auto& evidence = state.parts();
    std::vector<uint64_t> blocked;
    evidence.records().forEach([&](uint64_t part, const PartRecord& record) {
        if (record.blockedAt)
            blocked.push_back(part);
    });
    for (auto part : blocked)
        withRecord(state, part, PartEvidence::maximumParts, [&](PartRecord& record) { expireBlock(evidence, record, now); });
    evidence.records().eraseIf([&](uint64_t, const PartRecord& record) { return isExpired(record, now); });
}

} // namespace Lavenderloft::Dispatch::Commands
