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
    std::string service;
    std::string target;
    Base::TimePoint brokeAt {};
    // When the target was found to have ended; the connection alone may have broken.
    Base::TimePoint confirmedAt {};

    bool isConfirmed() const { return confirmedAt != Base::TimePoint(); }
};

// A crash of a target that ran a request, as routers tell each other.
struct CrashReport {
    // Hash of organisation, method, path and body: the request comes again under another id.
    uint64_t fingerprint = 0;
    std::string target;
    std::chrono::milliseconds age { 0 };
};

// Runs that broke, by the fingerprint of their request. A request whose runs ended with the crash of several
// targets is not sent to any more of them. Changed by Commands/RecordCrash, read by Queries/FindQuarantine.
class CrashHistory {
public:
    // Targets that crash now and then rarely run the same request, so that fewer would convict an innocent one.
    static constexpr size_t crashesToQuarantine = 3;
    static constexpr std::chrono::seconds retention { 60 };
    // A crashed target can't be reached, or its entry lapses, within this time.
    static constexpr std::chrono::seconds confirmationPeriod { 6 };
    static constexpr size_t maximumRequests = 4096;

    using Runs = Base::ShardedMap<uint64_t, std::vector<BrokenRun>>;

    Runs& runs() { return m_runs; }
    const Runs& runs() const { return m_runs; }

private:
    Runs m_runs;
};

} // namespace Lavenderloft::Dispatch
