#include "Staging/SourceHealth.h"
#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

// Guards against a failed agent whose pieces are not reassigned, and against one that is never used again.
Test(SourceHealth, backsOffFromAnUnreachableAgent)
{
    SourceHealth health;
    Base::ManualClock clock;
    health.recordUnreachable("a", clock.now());
    cr_assert(health.isInBackoff("a", clock.now()));
    cr_assert_not(health.isInBackoff("b", clock.now()));
    clock.advance(SourceHealth::unreachableBackoff);
    cr_assert_not(health.isInBackoff("a", clock.now()));
}
