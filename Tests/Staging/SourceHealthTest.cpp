#include "Staging/SourceHealth.h"
#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

// Guards against a failed agent whose pieces are not reassigned, and against one that is never used again.
Test(SourceHealth, avoidsAnAgentForAWhile)
{
    SourceHealth health;
    Base::ManualClock clock;
    health.recordUnreachable("a", clock.now());
    cr_assert(health.isAvoided("a", clock.now()));
    cr_assert_not(health.isAvoided("b", clock.now()));
    clock.advance(SourceHealth::avoidancePeriod);
    cr_assert_not(health.isAvoided("a", clock.now()));
}
