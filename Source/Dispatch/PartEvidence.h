#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Dispatch {

// A part of a prompt. Requests with the same part have the same id in it.
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

// Hexadecimal, as callers write it.
std::string formatPartId(uint64_t part);

// A crash of a target while a request with the part ran there without having produced an event.
struct PartCrash {
    std::string target;
    Base::TimePoint at {};
    // When this router confirmed the crash; nothing if another router did.
    std::optional<Base::TimePoint> confirmedAt;
};

// What is known of a prompt part.
struct PartRecord {
    // Crashes since the last response to a request with the part, the oldest first.
    std::vector<PartCrash> crashes;
    // Last complete response to a request with the part, at any router.
    Base::TimePoint servedAt {};
    // Last response of which another router has told all routers.
    Base::TimePoint announcedServedAt {};
    // Until then the other routers are told of the last response, because a router reported a crash.
    Base::TimePoint announceServedUntil {};
    // Last crash that any router reported, even if a response had cleared the part of it.
    Base::TimePoint lastCrashAt {};
    // Since when requests with the part are refused; nothing if they are not.
    std::optional<Base::TimePoint> blockedAt;
    // Last time at which a router refused a request with the part. A block ends some time after it.
    Base::TimePoint renewedAt {};
    // Last time at which another router reported crashes of the part.
    Base::TimePoint reportedElsewhereAt {};
    // Last time at which this router refused a request with the part.
    Base::TimePoint refusedAt {};
    // Position in the prompt. Parts at the front are shared by more requests.
    uint32_t position = 0;
    // The part was blocked before; one more crash blocks it again.
    bool wasBlocked = false;

    bool isKnownSound() const { return servedAt != Base::TimePoint(); }
};

// A crash of a target while a request with the part ran there, exchanged between routers.
struct PartCrashReport {
    uint64_t part = 0;
    std::string target;
    std::chrono::milliseconds age { 0 };
    uint32_t position = 0;
};

// A complete response to a request with the part, exchanged between routers.
struct PartServedReport {
    uint64_t part = 0;
    std::chrono::milliseconds age { 0 };
};

struct PartReports {
    std::vector<PartCrashReport> crashes;
    std::vector<PartServedReport> served;

    bool isEmpty() const { return crashes.empty() && served.empty(); }
};

// Crashes and responses by prompt part. A part whose requests crashed several targets, without one response in between,
// is blocked, unless its crashes are explained by a part that is blocked already. Changed by Commands/RecordPartEvidence, read by Queries/FindBlockedPart.
class PartEvidence {
public:
    // For a part that no request with a complete response is known to have had.
    static constexpr size_t crashesToBlock = 3;
    // For a part that requests with complete responses have had. Their crashes must also be spread over some time,
    // because the loss of many targets at once says nothing about what ran there.
    static constexpr size_t crashesToBlockKnownSound = 5;
    static constexpr std::chrono::milliseconds knownSoundMinimumSpan { 1000 };
    // Crashes within this time have a common cause and count once.
    static constexpr std::chrono::milliseconds commonCauseWindow { 100 };
    // Reports on the same target within this time concern the same crash. No target starts and crashes again within it.
    static constexpr std::chrono::seconds sameCrashWindow { 1 };
    // Evidence is kept for this time after the last crash or response.
    static constexpr std::chrono::minutes retention { 10 };
    // A block ends this long after the last refused request, and at the latest maximumBlock after it began.
    static constexpr std::chrono::seconds blockPeriod { 60 };
    static constexpr std::chrono::minutes maximumBlock { 10 };
    static constexpr size_t maximumParts = 8192;
    // Records of parts without crashes leave room for those with crashes.
    static constexpr size_t maximumServedParts = 6144;
    static constexpr size_t maximumBlockedParts = 16;
    static constexpr size_t maximumCrashesPerPart = 8;

    using Records = Base::ShardedMap<uint64_t, PartRecord>;

    Records& records() { return m_records; }
    const Records& records() const { return m_records; }

    size_t blockedCount() const { return m_blockedCount; }

    // Counts one more blocked part unless there are too many.
    bool tryCountBlocked()
    {
        if (m_blockedCount.fetch_add(1) < maximumBlockedParts)
            return true;
        --m_blockedCount;
        return false;
    }

    void uncountBlocked() { --m_blockedCount; }

private:
    Records m_records;
    std::atomic<size_t> m_blockedCount { 0 };
};

} // namespace Lavenderloft::Dispatch
