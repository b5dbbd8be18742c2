#pragma once

#include "Staging/ColdStartLimiter.h"

namespace Lavenderloft::Staging {

// State that limits the slots granted with a load report. Modified by Commands/TakeGrantableSlots.
struct GrantableSlots {
    // Free slots at the previous report. A slot is granted only if it was free then too, because the router that has
    // just released it may use it again.
    unsigned previouslyFree = 0;
    // Reports in a row with which the routers were told to limit the reuse of slots.
    unsigned limitedReports = 0;
    // When urgent requests last lacked a slot at any router.
    Base::TimePoint urgentUnmetAt {};
    // Moving average of the slots granted with a report.
    double meanGranted = 0;
    ColdStartLimiter coldStart;

    // The reuse of slots stays limited for this time after urgent requests lacked one, because demands are reported only
    // every few hundred milliseconds and requests wait for less.
    static constexpr std::chrono::milliseconds urgentNeedLifetime { 1000 };

    bool isUrgentUnmet(Base::TimePoint now) const { return urgentUnmetAt != Base::TimePoint() && now - urgentUnmetAt < urgentNeedLifetime; }
};

} // namespace Lavenderloft::Staging
