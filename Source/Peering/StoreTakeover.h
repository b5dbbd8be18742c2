#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace Lavenderloft::Peering {

// Decides when a router follows the store itself because no other router of its region relays the published items in
// time. Routers take over one after the other: if all of them did so at once, their responses would share the link to the
// store, and a large item would reach none of them in time. They do so in groups: if the store is slow, no router gets items
// in time, and more followers would only add to its load.
class StoreTakeover {
public:
    // Time that each router of a group waits for the one before it.
    static constexpr std::chrono::milliseconds step { 500 };
    // Enough that one of them reaches a store that turns some routers away.
    static constexpr size_t groupSize = 3;
    // Time that a group waits for the one before it. Longer than a router waits for the response of a slow store.
    static constexpr std::chrono::milliseconds groupStep { 6000 };

    // Records whether this router receives the published items in time.
    void recordSupply(bool isSupplied, Base::TimePoint now);

    // Whether this router should follow the store. `rank` is the number of routers that take over before it.
    bool isDue(size_t rank, Base::TimePoint now) const;

private:
    std::optional<Base::TimePoint> m_unsuppliedSince;
};

} // namespace Lavenderloft::Peering
