#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Base/ShardedMap.h"
#include "Observability/Metrics.h"
#include "Routing/QuarantineTable.h"
#include "Routing/RetryBudget.h"
#include "Routing/TargetChannel.h"
#include "Routing/TargetPolicy.h"
#include "Routing/TargetTable.h"
#include "Streaming/ByteBudget.h"

#include <memory>

namespace Lavenderloft::Routing {

class RequestCoordinator;

// Requests under way, by their identity.
using RunningRequests = Base::ShardedMap<std::string, std::shared_ptr<RequestCoordinator>>;

// The state and the interfaces that all requests of a router share. The referenced objects outlive
// every request.
struct RoutingContext {
    const Base::Clock& clock;
    Base::RandomSource& random;
    Observability::Metrics& metrics;
    const TargetPolicy& policy;
    TargetChannels& channels;
    TargetTable& targets;
    RetryBudget& retryBudget;
    QuarantineTable& quarantine;
    RunningRequests& running;
    // Bytes of answers that wait for their readers.
    Streaming::ByteBudget& byteBudget;
    // Bytes of requests under way.
    Streaming::ByteBudget& requestBudget;
};

} // namespace Lavenderloft::Routing
