#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderloft::Dispatch {

// A run of a request that ended because its connection broke.
struct BrokenRun {
    // Empty if another router reported the run.
    std::string service;
    std::string target;
    // Fleet::TargetEntry::startedAt: a target that crashed may start again under its id.
    uint64_t incarnation = 0;
    Base::TimePoint brokeAt {};
    // When the target was found to have ended. Until then only the connection is known to have broken.
    Base::TimePoint confirmedAt {};
    // Shared parts of the prompt, if the run had produced no event; one of them may be the cause.
    std::vector<uint64_t> suspectParts {};

    bool isConfirmed() const { return confirmedAt != Base::TimePoint(); }
};

// A target crash during a request, exchanged between routers.
struct CrashReport {
    // Hash of organisation, method, path and body, because a resent request has a new id.
    uint64_t fingerprint = 0;
    std::string target;
    uint64_t incarnation = 0;
    std::chrono::milliseconds age { 0 };
};

// Broken runs by the fingerprint of their request. A request that crashed targets several times is quarantined, also if it was
// the same target, unless it has been served since. Changed by
// Commands/RecordCrash, read by Queries/FindQuarantine.
class CrashHistory {
public:
    // Targets also crash for other reasons, but rarely this often during the same request; a lower number would
    // quarantine harmless requests.
    static constexpr size_t crashesToQuarantine = 3;
    static constexpr std::chrono::seconds retention { 60 };
    // Within this time a crashed target is unreachable or its entry expires.
    static constexpr std::chrono::seconds confirmationPeriod { 6 };
    static constexpr size_t maximumRequests = 4096;
    static constexpr size_t maximumRunsPerRequest = 16;

    using Runs = Base::ShardedMap<uint64_t, std::vector<BrokenRun>>;

    Runs& runs() { return m_runs; }
    const Runs& runs() const { return m_runs; }

private:
    Runs m_runs;
};

} // namespace Lavenderloft::Dispatch
