#include "Scheduling/Commands/RecordWork.h"
#include "Scheduling/FairOrder.h"
#include "Scheduling/Queries/FindStartTag.h"
#include "Scheduling/Queries/FindUnservable.h"
#include "Scheduling/TokenWorkEstimator.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace Lavenderloft;
using namespace Lavenderloft::Scheduling;
using namespace std::chrono_literals;

// A request that arrives must precede the less urgent ones that wait, and no others.
Test(QueueOrder, putsUrgencyBeforeArrival)
{
    FairOrder order;
    QueuedWork urgent { 0 };
    QueuedWork lessUrgent { 2 };
    cr_assert(order.precedes(urgent, lessUrgent));
    cr_assert_not(order.precedes(lessUrgent, urgent));
    cr_assert(order.precedes(lessUrgent, lessUrgent));
}

// A response that was interrupted must go on before responses of its urgency begin, but not before more urgent ones.
Test(QueueOrder, putsInterruptedRequestsFirstWithinTheirUrgency)
{
    FairOrder order;
    QueuedWork interrupted { 1, true };
    QueuedWork waiting { 1 };
    cr_assert(order.precedes(interrupted, waiting));
    cr_assert_not(order.precedes(waiting, interrupted));
    cr_assert(order.precedes(QueuedWork { 0 }, interrupted));
}

// An organisation that sends eight times as much as another one must not delay it: the requests of both are served by turns.
Test(QueueOrder, servesOrganisationsByTheirShares)
{
    FairOrder order;
    SharesByUrgency shares;
    std::vector<QueuedWork> queue;
    auto arrive = [&](std::string_view organisation) {
        QueuedWork request { 1, false, organisation };
        request.startTag = Queries::findStartTag(shares, 1, organisation);
        Commands::chargeArrival(shares, request);
        auto position = std::find_if(queue.begin(), queue.end(), [&](auto& other) { return !order.precedes(other, request); });
        queue.insert(position, request);
    };
    for (int i = 0; i < 16; ++i)
        arrive("heavy");
    arrive("light");
    arrive("light");
    auto lastLight = std::find_if(queue.rbegin(), queue.rend(), [](auto& request) { return request.organisation == "light"; });
    cr_assert_leq(std::distance(queue.begin(), lastLight.base()), 4);
}

// Shares are of predicted work: an organisation with long generations gets as much of the engines as one with short ones.
Test(QueueOrder, countsPredictedWorkAndNotRequests)
{
    TokenWorkEstimator estimator;
    SharesByUrgency shares;
    QueuedWork large { 0, false, "large", { 4000, 200 } };
    large.work = estimator.estimate(large.size);
    QueuedWork small { 0, false, "small", { 400, 20 } };
    small.work = estimator.estimate(small.size);
    Commands::chargeArrival(shares, large);
    for (int i = 0; i < 10; ++i)
        Commands::chargeArrival(shares, small);
    cr_assert_float_eq(Queries::findStartTag(shares, 0, "large"), Queries::findStartTag(shares, 0, "small"), 1e-6);
}

// An organisation must not save up service while it sends nothing.
Test(QueueOrder, idleTimeEarnsNoCredit)
{
    SharesByUrgency shares;
    for (int i = 0; i < 100; ++i) {
        QueuedWork request { 0, false, "busy" };
        request.startTag = Queries::findStartTag(shares, 0, "busy");
        Commands::chargeArrival(shares, request);
        Commands::recordService(shares, request);
    }
    cr_assert_geq(Queries::findStartTag(shares, 0, "returning"), Queries::findStartTag(shares, 0, "busy") - 1);
}

// A caller that claims more tokens than any engine holds must not overflow the shares, nor one that claims none be free.
Test(QueueOrder, clampsClaimedSizes)
{
    TokenWorkEstimator estimator;
    cr_assert_leq(estimator.estimate({ UINT64_MAX, UINT64_MAX }), 11e6);
    cr_assert_geq(estimator.estimate({}), 1);
}

// Any number of organisations must take a bounded amount of memory.
Test(QueueOrder, boundsTheNumberOfAccounts)
{
    SharesByUrgency shares;
    for (int i = 0; i < 10000; ++i) {
        auto name = std::to_string(i);
        QueuedWork request { 0, false, name };
        request.startTag = Queries::findStartTag(shares, 0, name);
        Commands::chargeArrival(shares, request);
    }
    cr_assert_leq(shares.at(0).nextTags.size(), FairShares::maximumOrganisations + 1);
}

// Requests whose turn comes too late must be told at once, so that their callers can go elsewhere; others keep their place.
Test(FindUnservable, findsOnlyRequestsThatCannotBeServedInTime)
{
    Base::TimePoint now { 1h };
    std::vector<Queries::QueuedWait> queue { { 1, now + 100ms }, { 1, now + 50ms }, { 1, now + 300ms }, { 1, now, true } };
    // One request every 100 ms.
    auto unservable = Queries::findUnservable(queue, 10, now);
    cr_assert_eq(unservable.size(), 1);
    cr_assert_eq(unservable.front(), 1);
    cr_assert(Queries::findUnservable(queue, 0, now).empty());
}
