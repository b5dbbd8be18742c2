#pragma once

// Fleet decodes and stores the state published by operators and targets. It opens no sockets and is independent of wire
// formats, which are behind the interfaces PublicationDecoder and StoreProtocol.

#include "Http/HttpMessage.h"
#include "Scheduling/EngineModel.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderloft::Fleet {

// How often a request may be executed.
enum class RequestKind {
    // May be executed more than once.
    Idempotent,
    AtMostOnce,
    // The response is an event stream. May be repeated only if the route is resumable.
    Stream,
};

// A service that receives a share of a route's requests.
struct WeightedService {
    std::string service;
    unsigned weight = 0;
};

struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::AtMostOnce;
    // Maximum time that a caller waits for the response.
    std::chrono::milliseconds timeout { 0 };
    // Responses within this time are rated best.
    std::chrono::milliseconds targetLatency { 0 };
    // Maximum gap between two events of a stream that counts as on time.
    std::chrono::milliseconds maximumEventGap { 0 };
    // 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> services;
    // Maximum number of targets that one request is sent to.
    unsigned maximumAttempts = 1;
    bool isPublic = false;
    bool resumable = false;
    // Regions in which a request may be processed; empty means all.
    std::vector<std::string> allowedRegions;

    bool isRepeatable() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable); }
};

// Structure of the weights of a model service.
struct WeightLayout {
    unsigned pieces = 0;
    unsigned layers = 0;
    std::vector<std::string> models;
    uint64_t pieceBytes = 0;
};

struct Service {
    std::string name;
    unsigned maximumConnections = 0;
    // Time after its start during which a target handles only `coldRequestsPerSecond`.
    std::chrono::milliseconds coldStart { 0 };
    double coldRequestsPerSecond = 0;
    // Set for a service of model engines.
    std::optional<WeightLayout> weights;
    // Null if the configuration doesn't tell the speed of the engines.
    std::shared_ptr<const Scheduling::EngineModel> engineModel;
    // Set if the service is a weight origin.
    std::optional<Http::Endpoint> origin;
    // Bandwidth of the origin's link; zero if unknown.
    double originBitsPerSecond = 0;
};

struct Organisation {
    std::string name;
    std::optional<int> priority;
    std::vector<std::string> allowedRegions;
};

// Urgency of a request, 0 being the most urgent. The priority of the organisation takes precedence over that of the route,
// which decides between requests of organisations of the same priority.
struct Urgency {
    int organisationPriority = 0;
    int routePriority = 0;

    auto operator<=>(const Urgency&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

// Limits for requests and connections of callers.
struct CallerLimits {
    size_t maximumHeaderBytes = 16 * 1024;
    size_t maximumBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

// One version of the operators' configuration. Immutable after decoding.
struct Configuration {
    uint64_t version = 0;
    // Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>> routes;
    std::unordered_map<std::string, Service> services;
    CallerLimits limits;
    bool hasOrganisations = false;
    std::unordered_map<std::string, std::shared_ptr<const Organisation>> organisationsByKey;
    // Those that requests can have, the most urgent one first.
    std::vector<Urgency> urgencies;
};

} // namespace Lavenderloft::Fleet
