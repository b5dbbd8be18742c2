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

// Receives the result of a queued request. Exactly one function is called, once.
class Waiter {
public:
    virtual ~Waiter() = default;

    virtual void granted(const Permit&) = 0;
    virtual void refused(const Refusal&) = 0;
};

struct WaitingRequest {
    AdmissionRequest request;
    // Weight of the organisation in fair queueing.
    unsigned share = 1;
    Base::TimePoint deadline;
    std::shared_ptr<Waiter> waiter;
};

// Maximum wait at one target, after which a router can try another one.
inline constexpr std::chrono::milliseconds maximumWait { 1000 };

// Requests that wait for a slot, in one shard per class. Within a class, start-time fair queueing serves organisations
// in proportion to their shares; unused capacity is available to the others.
class WaitingQueue {
public:
    struct OrganisationQueue {
        std::deque<WaitingRequest> requests;
        // Number of grants divided by the share.
        double virtualTime = 0;
    };

    struct ClassQueue {
        mutable std::mutex lock;
        std::map<std::string, OrganisationQueue> organisations;
        // Virtual time of the last grant. A new organisation starts here, so that idle time earns no credit.
        double virtualTime = 0;
        size_t count = 0;
        uint64_t bytes = 0;
    };

    // Limits for all classes together.
    size_t maximumRequests = 256;
    uint64_t maximumBytes = 4 * 1024 * 1024;

    std::array<ClassQueue, DesiredState::priorityClassCount> classes;

    // Number of grants since the last one to the lowest waiting class.
    struct StarvationGuard {
        std::mutex lock;
        unsigned grantsSinceLowest = 0;
    };
    StarvationGuard starvationGuard;
};

} // namespace Lavenderloft::Admission
