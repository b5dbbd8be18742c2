#include "Admission/Commands/AdmitRequest.h"

#include "Admission/Commands/GrantPermit.h"
#include "Admission/Commands/QueueRequest.h"
#include "Admission/Commands/ReserveKey.h"
#include "Admission/Queries/FindRefusal.h"
#include "Admission/Queries/KeyHome.h"
#include "Admission/Queries/QueueStatistics.h"

#include <algorithm>

namespace Lavenderloft::Admission::Commands {

namespace {

    bool needsKey(const AdmissionContext& context, const AdmissionRequest& request)
    {
        return context.kind == Settings::TargetKind::Service && !request.repeatable;
    }

    std::optional<Refusal> findKeyRefusal(const AdmissionContext& context, const DesiredState::Service& service, const AdmissionRequest& request)
    {
        auto home = Queries::keyHome(service, request.organisation, request.idempotencyKey);
        if (home != context.vm)
            return makeRefusal(RefusalReason::NotKeyHome, "the home of this idempotency key is VM " + home, "send the call to that VM");
        if (service.paused)
            return makeRefusal(RefusalReason::NotReady, "service " + service.name + " is paused for non-repeatable calls", "retry later");
        return std::nullopt;
    }

    // Reserves the key of a non-repeatable call if this VM is its home.
    Base::Result<Base::Done, Refusal> reserveKeyAtHome(TargetState& state, const AdmissionContext& context, const AdmissionRequest& request, const Base::Clock& clock)
    {
        auto* service = context.document->findService(request.pool);
        updateHomes(state.keys, *service, clock);
        if (auto refusal = findKeyRefusal(context, *service, request))
            return *refusal;
        return reserveKey(state.keys, request, service->resendWindow, clock);
    }

    unsigned shareOf(const AdmissionContext& context, const AdmissionRequest& request)
    {
        auto* organisation = context.document->findOrganisation(request.organisation);
        return organisation ? organisation->share : 1;
    }

    Base::TimePoint waitLimit(const AdmissionRequest& request, const Base::Clock& clock)
    {
        auto wait = request.deadline.count() ? std::min(request.deadline, std::chrono::milliseconds(maximumWait)) : maximumWait;
        return clock.now() + wait;
    }

    bool isTooLarge(const TargetState& state, const AdmissionRequest& request)
    {
        return request.bodyBytes > state.permits.occupancy.usage().byteLimit;
    }

    // Grants a permit if the queue is empty and a slot is free, and queues the request otherwise.
    AdmissionResult grantOrQueue(TargetState& state, const AdmissionContext& context, const AdmissionRequest& request, std::shared_ptr<Waiter> waiter, const Base::Clock& clock, Base::RandomSource& random)
    {
        if (isTooLarge(state, request))
            return makeRefusal(RefusalReason::TooLarge, "the body exceeds the target's memory for requests", "send a smaller request");
        if (!Queries::queueStatistics(state.queue).requests) {
            auto granted = grantPermit(state.permits, request, clock, random);
            if (Base::succeeded(granted))
                return Base::valueOf(granted);
            if (Base::errorOf(granted).kind != RefusalReason::AtLimit)
                return Base::errorOf(granted);
        }
        auto queued = queueRequest(state.queue, { request, shareOf(context, request), waitLimit(request, clock), std::move(waiter) });
        if (!Base::succeeded(queued))
            return Base::errorOf(queued);
        return Queued {};
    }

} // namespace

AdmissionResult admitRequest(TargetState& state, const AdmissionContext& context, const AdmissionRequest& request, std::shared_ptr<Waiter> waiter, const Base::Clock& clock, Base::RandomSource& random)
{
    bool keyed = needsKey(context, request);
    if (keyed && request.idempotencyKey.empty())
        return makeRefusal(RefusalReason::KeyRequired, "a non-repeatable call requires an idempotency key", "send the header Idempotency-Key");
    // Repeated calls are answered from the table even if the target does not accept new requests.
    if (keyed) {
        if (auto known = findReplay(state.keys, request))
            return std::visit([](auto&& value) -> AdmissionResult { return value; }, *known);
    }
    if (auto refusal = Queries::findRefusal(context, request))
        return *refusal;
    if (keyed) {
        auto taken = reserveKeyAtHome(state, context, request, clock);
        if (!Base::succeeded(taken))
            return Base::errorOf(taken);
    }
    auto result = grantOrQueue(state, context, request, std::move(waiter), clock, random);
    if (keyed && std::holds_alternative<Refusal>(result))
        releaseKey(state.keys, request);
    return result;
}

void grantWaiting(TargetState& state, const Base::Clock& clock, Base::RandomSource& random)
{
    while (true) {
        auto usage = state.permits.occupancy.usage();
        if (usage.slots >= usage.limit)
            return;
        auto next = dequeueNext(state.queue);
        if (!next)
            return;
        auto granted = grantPermit(state.permits, next->request, clock, random);
        if (Base::succeeded(granted)) {
            next->waiter->granted(Base::valueOf(granted));
            continue;
        }
        if (Base::errorOf(granted).kind == RefusalReason::AtLimit)
            return requeue(state.queue, std::move(*next));
        next->waiter->refused(Base::errorOf(granted));
    }
}

} // namespace Lavenderloft::Admission::Commands
