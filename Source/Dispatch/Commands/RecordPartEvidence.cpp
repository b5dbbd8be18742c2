#include "Dispatch/Commands/RecordPartEvidence.h"

#include "Dispatch/Queries/FindBlockedPart.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;
    using Entries = PartEvidence::Records::Entries;

    // How long the other routers are told of a response that clears a part of a crash.
    constexpr std::chrono::milliseconds announceServedPeriod = 1000ms;

    // Returns the record of the part, adding it if needed; null if there are too many.
    PartRecord* findOrAdd(bool isFull, Entries& entries, uint64_t part)
    {
        auto known = entries.find(part);
        if (known != entries.end())
            return &known->second;
        return isFull ? nullptr : &entries[part];
    }

    template <typename Function>
    void withRecord(DispatchState& state, uint64_t part, Function&& function)
    {
        auto& records = state.parts().records();
        bool isFull = records.size() >= PartEvidence::maximumParts;
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

    // Number of crashes that are not explained by a common cause.
    size_t countSeparateCrashes(const PartRecord& record)
    {
        size_t count = 0;
        Base::TimePoint last {};
        for (auto& crash : record.crashes) {
            if (count > 0 && crash.at - last < PartEvidence::commonCauseWindow)
                continue;
            last = crash.at;
            ++count;
        }
        return count;
    }

    bool isIncriminated(const PartRecord& record)
    {
        if (record.crashes.empty())
            return false;
        if (record.wasBlocked)
            return true;
        auto crashes = countSeparateCrashes(record);
        if (!record.isKnownSound())
            return crashes >= PartEvidence::crashesToBlock;
        auto span = record.crashes.back().at - record.crashes.front().at;
        return crashes >= PartEvidence::crashesToBlockKnownSound && span >= PartEvidence::knownSoundMinimumSpan;
    }

    void unblock(PartEvidence& evidence, PartRecord& record)
    {
        if (record.blockedAt)
            evidence.uncountBlocked();
        record.blockedAt.reset();
    }

    void blockIfIncriminated(PartEvidence& evidence, PartRecord& record, Base::TimePoint now)
    {
        if (!record.blockedAt && isIncriminated(record) && evidence.tryCountBlocked())
            record.blockedAt = now;
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

    void addCrash(DispatchState& state, uint64_t part, PartCrash crash, Base::TimePoint now)
    {
        withRecord(state, part, [&](PartRecord& record) {
            // A part of a request that was served later cannot have caused the crash.
            if (record.isKnownSound() && record.servedAt >= crash.at) {
                record.announceServedUntil = now + announceServedPeriod;
                return;
            }
            if (record.blockedAt && !crash.confirmedAt)
                record.renewedAt = now;
            insertCrash(record, std::move(crash));
            blockIfIncriminated(state.parts(), record, now);
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
        return now - record.servedAt > PartEvidence::servedRetention && now - lastEvidence > PartEvidence::retention;
    }

} // namespace

void recordPartCrash(DispatchState& state, uint64_t part, const std::string& target, Base::TimePoint brokeAt, Base::TimePoint now)
{
    addCrash(state, part, { target, brokeAt, now }, now);
}

void recordPartsServed(DispatchState& state, const std::vector<PromptPart>& parts, Base::TimePoint now)
{
    for (auto& part : parts) {
        withRecord(state, part.id, [&](PartRecord& record) {
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
    for (auto& crash : reports.crashes) {
        if (crash.age <= PartEvidence::retention)
            addCrash(state, crash.part, { crash.target, now - crash.age, std::nullopt }, now);
    }
    for (auto& served : reports.served) {
        if (served.age <= PartEvidence::servedRetention)
            withRecord(state, served.part, [&](PartRecord& record) { clear(state.parts(), record, now - served.age); });
    }
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
        withRecord(state, part, [&](PartRecord& record) { expireBlock(evidence, record, now); });
    evidence.records().eraseIf([&](uint64_t, const PartRecord& record) { return isExpired(record, now); });
}

} // namespace Lavenderloft::Dispatch::Commands
