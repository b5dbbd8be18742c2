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

// Requests in flight by ID.
using RunningRequests = Base::ShardedMap<std::string, std::shared_ptr<RequestCoordinator>>;

// State and interfaces shared by all requests of a router. The referenced objects must outlive every request.
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
    // Limits the response bytes that wait for slow readers.
    Streaming::ByteBudget& byteBudget;
    // Limits the body bytes of requests in flight.
    Streaming::ByteBudget& requestBudget;
};

} // namespace Lavenderloft::Routing
