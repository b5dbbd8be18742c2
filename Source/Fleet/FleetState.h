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

// Every published item that this process has seen, with the newest revision of each key, and the snapshot
// made of them. Items reach it from the store and from other nodes in any order; an older revision of a key
// never replaces a newer one. Changed by Commands/ApplyItems, read by Queries/.
class FleetState {
public:
    // Deletions are remembered so that a node that lags can't bring a key back.
    static constexpr std::chrono::minutes deletionRetention { 2 };
    static constexpr size_t declarationsPerModel = 8;

    struct Record {
        PublishedItem item;
        Publication publication;
        Base::TimePoint learnedAt {};
        // A deletion that takes effect only then; until then the former publication holds.
        std::optional<Base::TimePoint> lapsesAt;
    };

    // Records by key and the snapshot, under one lock.
    struct Contents {
        std::map<std::string, Record> records;
        // A version that is declared while an earlier one is being brought out does not cancel the bound of
        // the earlier one, so the history is kept.
        std::map<std::string, std::vector<DeclaredWeights>> declaredWeights;
        uint64_t revision = 0;
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
