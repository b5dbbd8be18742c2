#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Routing {

// A crash of an engine, with the known requests that ran on it.
struct CrashRecord {
    Base::TimePoint at;
    // Earliest time at which the record may cause a quarantine. With fingerprints from other routers, the
    // reports of all routers should have arrived first; otherwise an unrelated request could be the only
    // one common to two crashes.
    Base::TimePoint effectiveFrom;
    std::set<uint64_t> fingerprints;
    // Whether more requests ran than the record holds. Such a record is no evidence.
    bool overflowed = false;
};

// One fingerprint of a crash record, as exchanged between routers.
struct CrashReport {
    uint64_t fingerprint = 0;
    // VM of the target that crashed.
    std::string target;
    Base::Duration age {};

    bool operator==(const CrashReport&) const = default;
};

enum class QuarantineState {
    Free,
    // Two crashes point to the request, but reports that may clear it are still outstanding.
    Pending,
    Quarantined,
};

// Quarantine status of a request according to the known crashes.
struct QuarantineStatus {
    QuarantineState state = QuarantineState::Free;
    // Time until the outstanding reports should have arrived; zero unless the state is Pending.
    Base::Duration pendingFor {};
};

// Requests in flight and crashes by target. A request is quarantined when two different targets crashed and
// its fingerprint is the only one common to both crashes. Modified by Commands/RecordCrash, read by
// Queries/FindQuarantine.
class QuarantineTable {
public:
    static constexpr size_t maximumTargets = 256;
    static constexpr size_t crashesPerTarget = 4;
    static constexpr size_t fingerprintsPerCrash = 256;
    // Time after which a crash is removed.
    static constexpr std::chrono::minutes retention { 10 };
    // Reports on one target within this time belong to one crash. An engine cannot start twice within it.
    static constexpr std::chrono::seconds crashWindow { 2 };
    // Time within which gossip reaches every router of a data centre.
    static constexpr std::chrono::seconds exchangeTime { 5 };

    using Crashes = Base::ShardedMap<std::string, std::vector<CrashRecord>>;
    using InFlight = Base::ShardedMap<std::string, std::map<uint64_t, unsigned>>;

    Crashes& crashes() { return m_crashes; }
    const Crashes& crashes() const { return m_crashes; }
    InFlight& inFlight() { return m_inFlight; }

private:
    Crashes m_crashes;
    InFlight m_inFlight;
};

// Exchanges crash reports with other routers through ControlService.Exchange.
class CrashReportExchange {
public:
    virtual ~CrashReportExchange() = default;

    // Reports to be sent to peers.
    virtual std::vector<CrashReport> crashReports() const = 0;

    // Adds reports received from a peer.
    virtual void merge(const std::vector<CrashReport>&) = 0;
};

} // namespace Lavenderloft::Routing
