#pragma once

#include "Fleet/FleetSnapshot.h"
#include "Fleet/Publication.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Lavenderloft::Fleet {

// All items published up to a time are known.
struct Completeness {
    Base::TimePoint asOf;
    // Who reported it: the store, or the address of a node.
    std::string source;
};

// The published state and up to when it is complete, read at the same moment.
struct FleetView {
    std::shared_ptr<const FleetSnapshot> snapshot;
    // Nothing before the first contact with the store, or with a node that follows it.
    std::optional<Completeness> completeness;
};

// The newest version of every published item known to this process, and the snapshot built from them. Items arrive
// from the store and from other nodes in any order; an older position of a key never replaces a newer one. Modified by
// Commands/ApplyItems, read by Queries/.
class FleetState {
public:
    // Deleted keys are retained, so that a node with an older revision can't restore them.
    static constexpr std::chrono::minutes deletionRetention { 2 };
    // Assumed for items that were in the store before this process started.
    static constexpr std::chrono::milliseconds unknownAge = std::chrono::hours(1);
    // Larger values that no node uses are not kept, and are relayed empty.
    static constexpr size_t maximumUnusedValueBytes = 16 * 1024;

    // Values of this size or more are kept for previousValueRetention after they were replaced, so that nodes which still
    // have them need only the difference.
    static constexpr size_t minimumPreviousValueBytes = 4096;
    static constexpr std::chrono::minutes previousValueRetention { 1 };

    // After the store has returned from an older copy, operators and targets write again what it lost. Until then, or for this
    // time, an evacuation and its end stay in force.
    static constexpr std::chrono::seconds lostWriteRetention { 10 };
    // Targets restore their lost entries within this time.
    static constexpr std::chrono::milliseconds lostEntryRetention { 1900 };

    struct PreviousValue {
        std::string value;
        StorePosition position;
    };

    // What the store shows of an item of which a later, lost version stays in force.
    struct Retained {
        Publication shown;
        // Until the item is written again if empty.
        std::optional<Base::TimePoint> until;
    };

    struct Record {
        PublishedItem item;
        Publication publication;
        Base::TimePoint learnedAt {};
        // When a deferred deletion takes effect. Until then the previous publication stays in force.
        std::optional<Base::TimePoint> deletionDueAt;
        // The value before the present one; null if it was small or is expired.
        std::shared_ptr<const PreviousValue> previous {};
        std::optional<Retained> retained {};
        // Incarnation of the target whose entry was deleted last.
        std::optional<uint64_t> endedIncarnation {};
    };

    // Protected by one lock.
    struct Contents {
        std::map<std::string, Record> records;
        // Declarations by model. A declaration made during the rollout of an earlier one does not cancel the deadline of
        // the earlier one, so the history is retained.
        std::map<std::string, std::vector<DeclaredWeights>> declaredWeights;
        StorePosition position;
        // Position of the last listing of each prefix. A listing does not contain deleted keys, so deletions up to this
        // position may be unknown, except those of keys that were known before.
        std::map<std::string, StorePosition> listedPositions;
        // Deletions up to this position may have been forgotten after deletionRetention.
        StorePosition forgottenDeletions;
        // Nothing before the first contact with the store, or with a node that follows it.
        std::optional<Completeness> completeness;
        std::shared_ptr<const FleetSnapshot> snapshot = std::make_shared<FleetSnapshot>();
    };

    template <typename Function>
    auto withContents(Function&& function)
    {
        std::lock_guard guard(m_lock);
        return std::forward<Function>(function)(m_contents);
    }

    template <typename Function>
    auto withContents(Function&& function) const
    {
        std::lock_guard guard(m_lock);
        return std::forward<Function>(function)(m_contents);
    }

private:
    mutable std::mutex m_lock;
    Contents m_contents;
};

} // namespace Lavenderloft::Fleet
