#include "Base/ManualClock.h"
#include "Weights/Commands/UploadCommands.h"
#include "Weights/InterRegionLimiter.h"
#include "Weights/Queries/UploadQueries.h"
#include "Weights/TransferLimits.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Weights;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t chunkBytes = 1000;

Upload uploadTo(const std::string& region, unsigned priority, Base::TimePoint now)
{
    return { "vm", region, region != "own", priority, chunkBytes, now, false };
}

} // namespace

// Guards against more concurrent uploads than slots, and against an unbounded queue.
Test(Upload, startsAsManyAsThereAreSlots)
{
    Base::ManualClock clock;
    UploadTable table;
    InterRegionLimiter limiter("own", 1000);
    uint64_t number = 0;
    for (; number < uploadSlots; ++number) {
        cr_assert(Base::succeeded(Commands::enqueueUpload(table, number, uploadTo("own", 1, clock.now()))));
        cr_assert_eq(Queries::uploadsToStart(table, limiter, clock.now()).size(), 1);
        cr_assert(Base::succeeded(Commands::startUpload(table, number, clock.now())));
    }
    cr_assert_eq(Queries::freeUploadSlots(table), 0);
    for (; number < uploadSlots + maximumWaitingUploads; ++number)
        cr_assert(Base::succeeded(Commands::enqueueUpload(table, number, uploadTo("own", 1, clock.now()))));
    cr_assert(Queries::uploadsToStart(table, limiter, clock.now()).empty());
    cr_assert(Base::errorOf(Commands::startUpload(table, uploadSlots, clock.now())).kind == WeightErrorKind::Busy);
    auto refused = Commands::enqueueUpload(table, number, uploadTo("own", 1, clock.now()));
    cr_assert(Base::errorOf(refused).kind == WeightErrorKind::Busy);
    // Uploads to another region do not count against the queue of the own region.
    cr_assert(Base::succeeded(Commands::enqueueUpload(table, number, uploadTo("far", 1, clock.now()))));
    Commands::endUpload(table, 0, clock.now());
    auto next = Queries::uploadsToStart(table, limiter, clock.now());
    cr_assert_eq(next.size(), 1);
    cr_assert_eq(next[0], number);
    clock.advance(uploadQueueTimeout);
    cr_assert_eq(Queries::overdueUploads(table, clock.now()).size(), maximumWaitingUploads + 1);
}

// Guards against a low-priority rollout that delays a high-priority one or a whole region.
Test(Upload, servesHighPriorityThenOtherRegionsFirst)
{
    Base::ManualClock clock;
    UploadTable table;
    InterRegionLimiter limiter("own", 1e9);
    Commands::enqueueUpload(table, 1, uploadTo("own", 1, clock.now()));
    Commands::enqueueUpload(table, 2, uploadTo("far", 1, clock.now()));
    Commands::enqueueUpload(table, 3, uploadTo("own", 9, clock.now()));
    auto numbers = Queries::uploadsToStart(table, limiter, clock.now());
    cr_assert_eq(numbers.size(), 2);
    cr_assert_eq(numbers[0], 3);
    cr_assert_eq(numbers[1], 2);
}

// Guards against rollouts that exceed their share of a link, and against a saturated link that blocks uploads within the
// own region.
Test(Upload, keepsWithinTheShareOfTheLink)
{
    Base::ManualClock clock;
    UploadTable table;
    InterRegionLimiter limiter("own", 2 * chunkBytes);
    limiter.setSenders(2, clock.now());
    Commands::enqueueUpload(table, 1, uploadTo("far", 1, clock.now()));
    Commands::enqueueUpload(table, 2, uploadTo("own", 1, clock.now()));
    limiter.accountUpload("far", chunkBytes, clock.now());
    auto numbers = Queries::uploadsToStart(table, limiter, clock.now());
    cr_assert_eq(numbers.size(), 1);
    cr_assert_eq(numbers[0], 2);
    // Two senders share 2,000 bytes/s; the bucket held a burst of 0.25 s.
    cr_assert(limiter.startDelay("far", clock.now()) == 750ms);
    cr_assert(limiter.startDelay("other", clock.now()) == 0ms);
    clock.advance(750ms);
    cr_assert_eq(Queries::uploadsToStart(table, limiter, clock.now()).size(), 2);
}

// Guards against announcing a wait while the queue has room, or one that does not follow the upload duration.
Test(Upload, announcesWhenASlotIsExpected)
{
    Base::ManualClock clock;
    UploadTable table;
    uint64_t number = 0;
    for (; number < uploadSlots; ++number) {
        Commands::enqueueUpload(table, number, uploadTo("own", 1, clock.now()));
        Commands::startUpload(table, number, clock.now());
    }
    for (; number < uploadSlots + maximumWaitingUploads; ++number) {
        cr_assert(Queries::slotExpectedIn(table) == 0ms);
        Commands::enqueueUpload(table, number, uploadTo("own", 1, clock.now()));
    }
    cr_assert(Queries::slotExpectedIn(table) == minimumSlotWait);
    clock.advance(uploadSlots * 100ms);
    Commands::endUpload(table, 0, clock.now());
    cr_assert(Queries::slotExpectedIn(table) == 100ms);
    Commands::startUpload(table, uploadSlots, clock.now());
    cr_assert(Queries::slotExpectedIn(table) == 0ms);
}
