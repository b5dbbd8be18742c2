#include "Staging/Commands/TakeGrantableSlots.h"

#include <algorithm>
#include <utility>

namespace Lavenderloft::Staging::Commands {

unsigned takeGrantableSlots(GrantableSlots& state, unsigned free, std::optional<double> coldRate, Base::TimePoint now)
{
    auto slots = std::min(free, std::exchange(state.previouslyFree, free));
    if (coldRate)
        return state.coldStart.take(slots, *coldRate, now);
    state.coldStart.reset();
    return slots;
}

} // namespace Lavenderloft::Staging::Commands
