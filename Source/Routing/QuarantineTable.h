#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Routing {

// One crash of an engine and the requests that ran on it, as far as they are known here.
struct CrashRecord {
    Base::TimePoint at;
    // From when on the record may convict: a record with fingerprints from other routers waits until
    // those of all routers should have arrived, or a request that ran beside could be blamed.
    Base::TimePoint countsFrom;
    std::set<uint64_t> fingerprints;
    // More requests ran than a record holds, so that it cannot tell which are common to two crashes.
    bool overflowed = false;
};

// One fingerprint of a crash record in the form in which routers exchange it.
struct CrashReport {
    uint64_t fingerprint = 0;
    // VM name of the target that crashed.
    std::string target;
    Base::Duration age {};

    bool operator==(const CrashReport&) const = default;
};

enum class QuarantineState {
    Free,
    // The request would be quarantined, but reports that may clear it are still awaited.
    Pending,
    Quarantined,
};

// What the crashes known so far say of one request.
struct QuarantineFinding {
    QuarantineState state = QuarantineState::Free;
    // Time until the awaited reports should have arrived; zero unless the state is Pending.
    Base::Duration pendingFor {};
};

// Requests under way and crashes, by target. A request is quarantined after two crashes on two targets
// in which it was the only fingerprint common to both. Changed by Commands/RecordCrash, read by
// Queries/FindQuarantine.
class QuarantineTable {
public:
    static constexpr size_t maximumTargets = 256;
    static constexpr size_t crashesPerTarget = 4;
    static constexpr size_t fingerprintsPerCrash = 256;
    // Crashes are forgotten after this time.
    static constexpr std::chrono::minutes retention { 10 };
    // Reports of one crash arrive within this time; an engine does not start twice in it.
    static constexpr std::chrono::seconds crashWindow { 2 };
    // Gossip reaches every router of a data centre within this time.
    static constexpr std::chrono::seconds exchangeTime { 5 };

    using Crashes = Base::ShardedMap<std::string, std::vector<CrashRecord>>;
    using UnderWay = Base::ShardedMap<std::string, std::map<uint64_t, unsigned>>;

    Crashes& crashes() { return m_crashes; }
    const Crashes& crashes() const { return m_crashes; }
    UnderWay& underWay() { return m_underWay; }

private:
    Crashes m_crashes;
    UnderWay m_underWay;
};

// Exchanges crashReports with other routers; the control plane carries them in ControlService.Exchange.
class CrashReportExchange {
public:
    virtual ~CrashReportExchange() = default;

    // Suspicions of this process, to be sent to peers.
    virtual std::vector<CrashReport> crashReports() const = 0;

    // Suspicions that a peer sent.
    virtual void merge(const std::vector<CrashReport>&) = 0;
};

} // namespace Lavenderloft::Routing
