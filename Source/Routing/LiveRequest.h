#pragma once

#include "Base/Clock.h"
#include "DesiredState/Document.h"

#include <cstdint>
#include <string>
#include <vector>

// Routing decides which target runs a live request, matches answers to attempts and decides on retries.
// State: TargetTable, RetryBudget, QuarantineTable, RunningRequests. It opens no sockets; attempts go
// through the interface TargetChannel and answers to the interface ResponseWriter.
namespace Lavenderloft::Routing {

struct Header {
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

// A request as a front end received it.
struct CallerRequest {
    std::string method;
    // Path and query.
    std::string path;
    Headers headers;
    std::string body;
};

// A request with everything that routing needs to know about it.
struct LiveRequest {
    // Drawn at random; the caller gets it as X-Request-Id.
    std::string id;
    std::string organisation;
    DesiredState::PriorityClass priorityClass = DesiredState::PriorityClass::Interactive;
    Base::TimePoint deadline;
    DesiredState::RouteKind kind = DesiredState::RouteKind::ToPool;
    // Name of the pool or service.
    std::string destination;
    // Digest of the adapter that the route names; empty for the base model.
    std::string adapter;
    bool repeatable = false;
    // Key of a call that may not be repeated; empty for others.
    std::string key;
    // Whether the caller sent the key. A key made here was certainly never used before.
    bool keyFromCaller = false;
    // VM names that the desired state lists for the service, the candidates for the key's home.
    std::vector<std::string> keyHomes;
    uint64_t revision = 0;
    // Hash of organisation and body, by which a request that crashes targets is recognised.
    uint64_t fingerprint = 0;
    // Hash of organisation and start of the body, a hint for prefix caches.
    uint64_t prefix = 0;
    CallerRequest message;
};

} // namespace Lavenderloft::Routing
