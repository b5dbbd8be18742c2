#include "Routing/Commands/RecordCrash.h"

#include <algorithm>

namespace Lavenderloft::Routing::Commands {

namespace {

    using Fingerprints = std::set<uint64_t>;

    void addFingerprint(CrashRecord& record, uint64_t fingerprint)
    {
        if (record.fingerprints.size() < QuarantineTable::fingerprintsPerCrash)
            record.fingerprints.insert(fingerprint);
        else if (!record.fingerprints.contains(fingerprint))
            record.overflowed = true;
    }

    Fingerprints fingerprintsInFlight(QuarantineTable& table, const std::string& target)
    {
        return table.inFlight().withShard(target, [&](QuarantineTable::InFlight::Entries& entries) {
            Fingerprints fingerprints;
            if (auto entry = entries.find(target); entry != entries.end()) {
                for (auto& [fingerprint, count] : entry->second)
                    fingerprints.insert(fingerprint);
            }
            return fingerprints;
        });
    }

    // Finds the record of a crash at about the given time, or adds one.
    CrashRecord& recordAt(std::vector<CrashRecord>& records, Base::TimePoint at)
    {
        auto same = std::find_if(records.begin(), records.end(), [&](auto& record) {
            return at < record.at + QuarantineTable::crashWindow && record.at < at + QuarantineTable::crashWindow;
        });
        if (same != records.end())
            return *same;
        if (records.size() >= QuarantineTable::crashesPerTarget)
            records.erase(std::min_element(records.begin(), records.end(), [](auto& a, auto& b) { return a.at < b.at; }));
        records.push_back({ at, at, {}, false });
        return records.back();
    }

    void addToRecord(QuarantineTable& table, const std::string& target, Base::TimePoint at, Base::TimePoint effectiveFrom, const Fingerprints& fingerprints)
    {
        bool full = table.crashes().size() >= QuarantineTable::maximumTargets;
        table.crashes().withShard(target, [&](QuarantineTable::Crashes::Entries& entries) {
            if (full && !entries.contains(target))
                return;
            auto& record = recordAt(entries[target], at);
            record.effectiveFrom = std::max(record.effectiveFrom, effectiveFrom);
            for (auto fingerprint : fingerprints)
                addFingerprint(record, fingerprint);
        });
    }

} // namespace

void recordRunStart(QuarantineTable& table, const std::string& target, uint64_t fingerprint)
{
    table.inFlight().withShard(target, [&](auto& entries) { ++entries[target][fingerprint]; });
}

void recordRunEnd(QuarantineTable& table, const std::string& target, uint64_t fingerprint)
{
    table.inFlight().withShard(target, [&](QuarantineTable::InFlight::Entries& entries) {
        auto entry = entries.find(target);
        if (entry == entries.end())
            return;
        auto count = entry->second.find(fingerprint);
        if (count != entry->second.end() && !--count->second)
            entry->second.erase(count);
        if (entry->second.empty())
            entries.erase(entry);
    });
}

void recordCrash(QuarantineTable& table, const std::string& target, uint64_t fingerprint, Base::TimePoint now)
{
    auto fingerprints = fingerprintsInFlight(table, target);
    fingerprints.insert(fingerprint);
    addToRecord(table, target, now, now, fingerprints);
}

void mergeCrashReports(QuarantineTable& table, const std::vector<CrashReport>& crashReports, Base::TimePoint now)
{
    for (auto& report : crashReports) {
        if (report.age >= QuarantineTable::retention)
            continue;
        auto at = now - report.age;
        bool known = table.crashes().withShard(report.target, [&](QuarantineTable::Crashes::Entries& entries) {
            auto entry = entries.find(report.target);
            return entry != entries.end() && std::any_of(entry->second.begin(), entry->second.end(), [&](auto& record) {
                return record.fingerprints.contains(report.fingerprint) && at < record.at + QuarantineTable::crashWindow && record.at < at + QuarantineTable::crashWindow;
            });
        });
        if (!known)
            addToRecord(table, report.target, at, now + QuarantineTable::exchangeTime, { report.fingerprint });
    }
}

void expireCrashes(QuarantineTable& table, Base::TimePoint now)
{
    auto isOld = [&](auto& record) { return now - record.at >= QuarantineTable::retention; };
    table.crashes().eraseIf([&](auto&, auto& records) { return std::all_of(records.begin(), records.end(), isOld); });
}

} // namespace Lavenderloft::Routing::Commands
