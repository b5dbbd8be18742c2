#pragma once

#include "Admission/AdmissionRequest.h"
#include "Admission/Permit.h"
#include "Admission/Refusal.h"
#include "Base/Clock.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Lavenderloft::Admission {

// Learns what became of a request that waits. Exactly one of the functions is called, once.
class Waiter {
public:
    virtual ~Waiter() = default;

    virtual void granted(const Permit&) = 0;
    virtual void refused(const Refusal&) = 0;
};

struct WaitingRequest {
    AdmissionRequest request;
    // Weight of the organisation.
    unsigned share = 1;
    Base::TimePoint deadline;
    std::shared_ptr<Waiter> waiter;
};

// Longest wait at one target; a router may then still try another one.
inline constexpr std::chrono::milliseconds maximumWait { 1000 };

// Requests that wait for a slot, in one shard for each class. Inside a class organisations are served in
// proportion to their shares; what one does not use the others may (start-time fair queueing).
class WaitingQueue {
public:
    struct OrganisationQueue {
        std::deque<WaitingRequest> requests;
        // Grants received, divided by the share.
        double virtualTime = 0;
    };

    struct ClassQueue {
        mutable std::mutex lock;
        std::map<std::string, OrganisationQueue> organisations;
        // Virtual time of the last grant; a new organisation starts here, so that idleness earns no credit.
        double virtualTime = 0;
        size_t count = 0;
        uint64_t bytes = 0;
    };

    // Bounds on all classes together.
    size_t maximumRequests = 256;
    uint64_t maximumBytes = 4 * 1024 * 1024;

    std::array<ClassQueue, DesiredState::priorityClassCount> classes;

    // Grants to higher classes since the last one to the lowest waiting class.
    struct Turn {
        std::mutex lock;
        unsigned grantsPastLowest = 0;
    };
    Turn turn;
};

} // namespace Lavenderloft::Admission
