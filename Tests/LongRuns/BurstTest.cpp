#include "Dispatch/SharedEnginesReplay.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;

// As SharesBetweenRouters/urgentRequestsGetThroughABurst with generations that run for seconds, so that fewer slots become
// free: urgent requests must not be refused until the burst has ended.
Test(SharesBetweenRouters, urgentRequestsGetThroughABurstOfLongRuns)
{
    auto served = replayBurst(Rule::ByUrgency, 2500ms);
    cr_expect_geq(served, 0.9);
    cr_expect_gt(served, replayBurst(Rule::ByDemandAlone, 2500ms));
}
