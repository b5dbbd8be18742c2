#pragma once

#include <array>
#include <cstddef>

namespace Lavenderloft::Scheduling {

// Demand of one router for engines at one urgency.
struct UrgencyDemand {
    double requestsPerSecond = 0;
    // Requests that wait for a slot now.
    unsigned waiting = 0;
    // Requests assigned to a slot, per second.
    double startsPerSecond = 0;

    bool isEmpty() const { return requestsPerSecond <= 0 && waiting == 0 && startsPerSecond <= 0; }

    // Whether requests lack a slot. Those that are refused at once do not wait, but do not start either.
    bool isUnmet() const;
};

// Demand of one router by urgency. The size is fixed, because routers send it to all agents.
struct DemandByUrgency {
    // Urgencies 0, 1, 2, and all less urgent ones.
    static constexpr size_t bandCount = 4;
    static constexpr size_t leastUrgentBand = bandCount - 1;

    std::array<UrgencyDemand, bandCount> bands {};

    static size_t bandOf(int urgency);
    bool isEmpty() const;
};

} // namespace Lavenderloft::Scheduling
