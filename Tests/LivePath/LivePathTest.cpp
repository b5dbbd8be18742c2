#include "Bench/SlowReadersBench.h"
#include "Bench/ZoneLeaveBench.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::Bench;

// Guards against calls that are lost, interrupted or run twice while a data centre leaves and returns, and against new
// requests in it after all routers know that it is out (invariants I3, I4, I6 and I7).
Test(LivePath, losesNothingWhileADataCentreLeaves)
{
    ZoneLeaveOptions options;
    options.undisturbedSeconds = 2;
    options.outSeconds = 3;
    options.returnSeconds = 3;
    options.seed = 5;
    auto result = runZoneLeave(options, false);
    auto text = toText(result);
    cr_assert_gt(result.calls, 0, "%s", text.c_str());
    cr_assert_eq(result.lostOrCut, 0, "%s", text.c_str());
    cr_assert_eq(result.doubled, 0, "%s", text.c_str());
    cr_assert_eq(result.refusedHazard, 0, "%s", text.c_str());
    cr_assert_eq(result.permitsWhileOut, 0, "%s", text.c_str());
    cr_assert_gt(result.permitsAfterReturn, 0, "the data centre must receive requests after its return: %s", text.c_str());
}

// Guards against memory that grows with the number of slow readers, against an aborted response that appears complete
// or a complete one that is truncated, and against failing requests of fast callers meanwhile.
Test(LivePath, keepsSlowReadersWithinTheStreamBudget)
{
    SlowReadersOptions options;
    options.readers = 300;
    options.seconds = 1;
    options.budgetMebibytes = 8;
    auto result = runSlowReaders(options, false);
    auto text = toText(result);
    cr_assert_leq(result.peakHeldBytes, result.budgetBytes, "%s", text.c_str());
    cr_assert_gt(result.readersCut, 0, "300 readers need more than 8 MiB, so some must be aborted: %s", text.c_str());
    cr_assert_eq(result.answersCut, result.readersCut, "%s", text.c_str());
    cr_assert_eq(result.answersWhole, result.readers - result.readersCut, "%s", text.c_str());
    cr_assert_eq(result.fastFailed, 0, "%s", text.c_str());
}
