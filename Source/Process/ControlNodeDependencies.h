#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Membership/PeerClient.h"
#include "Observability/Metrics.h"
#include "Process/ConfigurationSource.h"

namespace Lavenderloft::Process {

// Dependencies of a ControlNode. Referenced objects must outlive it.
struct ControlNodeDependencies {
    const Base::Clock& clock;
    Base::RandomSource& random;
    Membership::PeerClient& peers;
    ConfigurationSource& source;
    Observability::Metrics& metrics;
};

} // namespace Lavenderloft::Process
