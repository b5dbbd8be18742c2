#include "Admission/Commands/QueueRequest.h"

#include "Admission/Queries/QueueStatistics.h"

#include <algorithm>

namespace Lavenderloft::Admission::Commands {

namespace {

    // One grant in 20 goes to the lowest waiting class, so that it receives at least 5%.
    constexpr unsigned grantsPerLowestGrant = 20;

    using ClassQueue = WaitingQueue::ClassQueue;
    using OrganisationQueue = WaitingQueue::OrganisationQueue;

    size_t classIndex(const AdmissionRequest& request)
    {
        return static_cast<size_t>(request.priorityClass);
    }

    void addToTotals(ClassQueue& queue, const WaitingRequest& added)
    {
        ++queue.count;
        queue.bytes += added.request.bodyBytes;
    }

    void removeFromTotals(ClassQueue& queue, const WaitingRequest& removed)
    {
        --queue.count;
        queue.bytes -= removed.request.bodyBytes;
    }

    void dropIdleOrganisations(ClassQueue& queue)
    {
        std::erase_if(queue.organisations, [&](auto& entry) {
            return entry.second.requests.empty() && entry.second.virtualTime <= queue.virtualTime;
        });
    }

    std::optional<WaitingRequest> dequeueFromClass(ClassQueue& queue)
    {
        std::lock_guard guard(queue.lock);
        OrganisationQueue* next = nullptr;
        for (auto& [name, organisation] : queue.organisations) {
            if (!organisation.requests.empty() && (!next || organisation.virtualTime < next->virtualTime))
                next = &organisation;
        }
        if (!next)
            return std::nullopt;
        auto taken = std::move(next->requests.front());
        next->requests.pop_front();
        removeFromTotals(queue, taken);
        queue.virtualTime = std::max(queue.virtualTime, next->virtualTime);
        next->virtualTime += 1.0 / std::max(taken.share, 1u);
        dropIdleOrganisations(queue);
        return taken;
    }

    // Whether a part of its response was sent to the caller.
    bool isResumed(const WaitingRequest& waiting)
    {
        return waiting.request.resumeFromToken > 0;
    }

    // Whether the incoming request may displace the waiting one: one of a lower class, or for a resumed response also a new
    // request of its own class.
    bool mayDisplace(const WaitingRequest& incoming, const WaitingRequest& waiting)
    {
        if (classIndex(waiting.request) != classIndex(incoming.request))
            return classIndex(waiting.request) > classIndex(incoming.request);
        return isResumed(incoming) && !isResumed(waiting);
    }

    // Removes the newest request that may be displaced, of the organisation with the longest queue.
    std::optional<WaitingRequest> shedFromClass(ClassQueue& queue, const WaitingRequest& incoming)
    {
        std::lock_guard guard(queue.lock);
        OrganisationQueue* longest = nullptr;
        for (auto& [name, organisation] : queue.organisations) {
            // Resumed responses stand first, so the last request is a new one if there are any.
            bool isCandidate = !organisation.requests.empty() && mayDisplace(incoming, organisation.requests.back());
            if (isCandidate && (!longest || organisation.requests.size() > longest->requests.size()))
                longest = &organisation;
        }
        if (!longest)
            return std::nullopt;
        auto shed = std::move(longest->requests.back());
        longest->requests.pop_back();
        removeFromTotals(queue, shed);
        return shed;
    }

    bool shedFor(WaitingQueue& queue, const WaitingRequest& incoming)
    {
        for (size_t index = queue.classes.size(); index-- > classIndex(incoming.request);) {
            if (auto shed = shedFromClass(queue.classes[index], incoming)) {
                shed->waiter->refused(makeRefusal(RefusalReason::AtLimit, "the request was displaced from the queue by one that takes precedence", "try another target or retry later"));
                return true;
            }
        }
        return false;
    }

    bool fits(const WaitingQueue& queue, const WaitingRequest& incoming)
    {
        auto statistics = Queries::queueStatistics(queue);
        return statistics.requests < queue.maximumRequests && statistics.bytes + incoming.request.bodyBytes <= queue.maximumBytes;
    }

    // Whether the queue has room once every request that may be displaced has been shed.
    bool canMakeRoom(const WaitingQueue& queue, const WaitingRequest& incoming)
    {
        size_t requests = 0;
        uint64_t bytes = incoming.request.bodyBytes;
        for (auto& classQueue : queue.classes) {
            std::lock_guard guard(classQueue.lock);
            for (auto& [name, organisation] : classQueue.organisations) {
                for (auto& waiting : organisation.requests) {
                    bool isKept = !mayDisplace(incoming, waiting);
                    requests += isKept ? 1 : 0;
                    bytes += isKept ? waiting.request.bodyBytes : 0;
                }
            }
        }
        return requests < queue.maximumRequests && bytes <= queue.maximumBytes;
    }

    std::vector<size_t> waitingClasses(const WaitingQueue& queue)
    {
        std::vector<size_t> waiting;
        for (size_t index = 0; index < queue.classes.size(); ++index) {
            std::lock_guard guard(queue.classes[index].lock);
            if (queue.classes[index].count)
                waiting.push_back(index);
        }
        return waiting;
    }

    size_t chooseClass(WaitingQueue& queue, const std::vector<size_t>& waiting)
    {
        if (waiting.size() < 2)
            return waiting.front();
        std::lock_guard guard(queue.starvationGuard.lock);
        if (++queue.starvationGuard.grantsSinceLowest < grantsPerLowestGrant)
            return waiting.front();
        queue.starvationGuard.grantsSinceLowest = 0;
        return waiting.back();
    }

    // Removes and returns all requests that satisfy the predicate.
    template <typename Predicate>
    std::vector<WaitingRequest> removeIf(ClassQueue& queue, Predicate&& predicate)
    {
        std::vector<WaitingRequest> removed;
        std::lock_guard guard(queue.lock);
        for (auto& [name, organisation] : queue.organisations) {
            auto& requests = organisation.requests;
            auto kept = std::stable_partition(requests.begin(), requests.end(), [&](auto& entry) { return !predicate(entry); });
            std::move(kept, requests.end(), std::back_inserter(removed));
            requests.erase(kept, requests.end());
        }
        for (auto& entry : removed)
            removeFromTotals(queue, entry);
        dropIdleOrganisations(queue);
        return removed;
    }

} // namespace

Base::Result<Base::Done, Refusal> queueRequest(WaitingQueue& queue, WaitingRequest incoming)
{
    while (!fits(queue, incoming)) {
        if (!canMakeRoom(queue, incoming) || !shedFor(queue, incoming))
            return makeRefusal(RefusalReason::AtLimit, "the target and its queue are full", "try another target or retry later");
    }
    auto& classQueue = queue.classes[classIndex(incoming.request)];
    std::lock_guard guard(classQueue.lock);
    addToTotals(classQueue, incoming);
    auto& organisation = classQueue.organisations[incoming.request.organisation];
    if (organisation.requests.empty())
        organisation.virtualTime = std::max(organisation.virtualTime, classQueue.virtualTime);
    auto& requests = organisation.requests;
    auto position = isResumed(incoming) ? std::find_if_not(requests.begin(), requests.end(), isResumed) : requests.end();
    requests.insert(position, std::move(incoming));
    return Base::Done {};
}

std::optional<WaitingRequest> dequeueNext(WaitingQueue& queue)
{
    auto waiting = waitingClasses(queue);
    if (waiting.empty())
        return std::nullopt;
    return dequeueFromClass(queue.classes[chooseClass(queue, waiting)]);
}

void requeue(WaitingQueue& queue, WaitingRequest taken)
{
    auto& classQueue = queue.classes[classIndex(taken.request)];
    std::lock_guard guard(classQueue.lock);
    addToTotals(classQueue, taken);
    auto [entry, isNew] = classQueue.organisations.try_emplace(taken.request.organisation);
    auto& organisation = entry->second;
    organisation.virtualTime = isNew ? classQueue.virtualTime : organisation.virtualTime - 1.0 / std::max(taken.share, 1u);
    organisation.requests.push_front(std::move(taken));
}

bool withdrawRequest(WaitingQueue& queue, const AdmissionRequest& request)
{
    auto removed = removeIf(queue.classes[classIndex(request)], [&](const WaitingRequest& entry) { return entry.request.attemptId == request.attemptId; });
    return !removed.empty();
}

void refuseExpired(WaitingQueue& queue, Base::TimePoint now)
{
    for (auto& classQueue : queue.classes) {
        for (auto& overdue : removeIf(classQueue, [&](const WaitingRequest& entry) { return entry.deadline <= now; }))
            overdue.waiter->refused(makeRefusal(RefusalReason::AtLimit, "no slot became available in time", "try another target or retry later"));
    }
}

void refuseAll(WaitingQueue& queue, const Refusal& refusal)
{
    for (auto& classQueue : queue.classes) {
        for (auto& waiting : removeIf(classQueue, [](const WaitingRequest&) { return true; }))
            waiting.waiter->refused(refusal);
    }
}

} // namespace Lavenderloft::Admission::Commands
