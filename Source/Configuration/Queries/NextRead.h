#pragma once

#include "Configuration/ReadSchedule.h"

namespace Lavenderloft::Configuration::Queries {

// Peers that a process asks for their document before it trusts the service.
inline constexpr size_t startupPeerCount = 3;
// Longest wait for them.
inline constexpr std::chrono::milliseconds peerWait { 3000 };
// How long a watch of a reader stays pending.
inline constexpr std::chrono::milliseconds watchTimeout { 10000 };
// A process that is no reader reads by itself when no confirmation reached it for this long.
inline constexpr std::chrono::milliseconds confirmationLimit { 15000 };
// A process that reads by itself makes at most one call in this time.
inline constexpr std::chrono::milliseconds ownReadInterval { 10000 };

enum class ReadKind {
    // No call until something changes.
    None,
    // One read that returns at once.
    Read,
    // A read that stays pending until there is a newer document.
    Watch,
};

// The next call, if nothing changes before it.
struct ReadPlan {
    ReadKind kind = ReadKind::None;
    Base::TimePoint at = Base::TimePoint::max();

    bool isDue(Base::TimePoint now) const { return kind != ReadKind::None && at <= now; }
};

// What a process sees around it.
struct ReadContext {
    // Whether the process is elected as a reader of its data centre, and among how many candidates.
    bool isReader = false;
    size_t candidateCount = 1;
    // Processes of the whole system by the list of VMs; 0 if that is not known.
    size_t fleetSize = 0;
    bool hasDocument = false;
};

// Decides when a process calls the configuration service.
class NextRead {
public:
    explicit NextRead(const ReadSchedule& schedule)
        : m_schedule(schedule)
    {
    }

    ReadPlan plan(const ReadContext&) const;

    // Whether the process has heard its peers, or waited long enough for them, and may trust the service.
    bool isPeerQueryFinished(Base::TimePoint now) const;

private:
    const ReadSchedule& m_schedule;
};

} // namespace Lavenderloft::Configuration::Queries
