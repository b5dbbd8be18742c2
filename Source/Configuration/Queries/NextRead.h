#pragma once

#include "Configuration/ReadSchedule.h"

namespace Lavenderloft::Configuration::Queries {

// Number of peers that a process queries for their document before it reads the configuration service, which may
// return an outdated document after a restart.
inline constexpr size_t startupPeerCount = 3;
inline constexpr std::chrono::milliseconds peerQueryTimeout { 3000 };
// Time after which the service ends a pending watch.
inline constexpr std::chrono::milliseconds watchTimeout { 10000 };
// A process that is not a reader calls the service itself if it received no confirmation for this long.
inline constexpr std::chrono::milliseconds confirmationTimeout { 15000 };
// Minimum interval between such calls of one process.
inline constexpr std::chrono::milliseconds fallbackReadInterval { 10000 };

enum class ReadKind {
    // No call is scheduled.
    None,
    // A read that returns immediately.
    Read,
    // A long poll that returns when a newer document is published.
    Watch,
};

// The next call, provided that no other event is recorded before it.
struct ReadPlan {
    ReadKind kind = ReadKind::None;
    Base::TimePoint at = Base::TimePoint::max();

    bool isDue(Base::TimePoint now) const { return kind != ReadKind::None && at <= now; }
};

// Inputs of the decision that are not part of the ReadState.
struct ReadContext {
    // Whether the process is elected as a reader of its data centre, and the number of candidates.
    bool isReader = false;
    size_t candidateCount = 1;
    // Number of processes in the VM list; 0 if it is not known.
    size_t fleetSize = 0;
    bool hasDocument = false;
};

// Schedules this process's next call to the configuration service.
class NextRead {
public:
    explicit NextRead(const ReadSchedule& schedule)
        : m_schedule(schedule)
    {
    }

    ReadPlan plan(const ReadContext&) const;

    // Whether the query of the peers at the start has completed or timed out.
    bool isPeerQueryFinished(Base::TimePoint now) const;

private:
    const ReadSchedule& m_schedule;
};

} // namespace Lavenderloft::Configuration::Queries
