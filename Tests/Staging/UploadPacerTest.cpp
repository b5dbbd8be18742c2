#include "Staging/UploadPacer.h"
#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

// Guards against uploads that saturate the link over which the engine's responses are sent.
Test(UploadPacer, staysWithinItsShareOfTheLink)
{
    // 800 bytes a second for uploads.
    UploadPacer pacer(6400 / UploadPacer::linkShare);
    Base::ManualClock clock;
    cr_assert(pacer.reserve(800, clock.now()) == Base::Duration::zero());
    auto second = pacer.reserve(800, clock.now());
    cr_assert(second.has_value());
    cr_assert(std::chrono::abs(*second - 1s) < 1ms);
    cr_assert_not(pacer.reserve(800, clock.now()).has_value(), "the receiver should use another source");
    clock.advance(2s);
    cr_assert(pacer.reserve(800, clock.now()) == Base::Duration::zero());
}
