#pragma once

#include "Dispatch/DispatchState.h"

#include <map>
#include <string>

namespace Lavenderloft::Dispatch::Queries {

enum class Reluctance {
    Leaving,
    HeldBack,
};

// Targets to which this router sends no requests because of what they said in their responses, by id.
std::map<std::string, Reluctance> listReluctantTargets(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
