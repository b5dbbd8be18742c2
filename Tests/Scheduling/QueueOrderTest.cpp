#include "Scheduling/UrgencyOrder.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::Scheduling;

// A request that arrives must precede the less urgent ones that wait, and no others.
Test(QueueOrder, putsUrgencyBeforeArrival)
{
    UrgencyOrder order;
    QueuedWork urgent { 0 };
    QueuedWork lessUrgent { 2 };
    cr_assert(order.precedes(urgent, lessUrgent));
    cr_assert_not(order.precedes(lessUrgent, urgent));
    cr_assert(order.precedes(lessUrgent, lessUrgent));
}

// A response that was interrupted must go on before responses of its urgency begin, but not before more urgent ones.
Test(QueueOrder, putsInterruptedRequestsFirstWithinTheirUrgency)
{
    UrgencyOrder order;
    QueuedWork interrupted { 1, true };
    QueuedWork waiting { 1 };
    cr_assert(order.precedes(interrupted, waiting));
    cr_assert_not(order.precedes(waiting, interrupted));
    cr_assert(order.precedes(QueuedWork { 0 }, interrupted));
}
