#pragma once

// Fleet: what operators and targets publish, decoded into the product's own types. The module opens no
// socket and knows no wire name; PublicationDecoder and ItemSource are its interfaces to the outside.

#include "Http/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderloft::Fleet {

// How often a request may run.
enum class RequestKind {
    // May be repeated.
    Idempotent,
    // Runs once at most.
    AtMostOnce,
    // Answered by a series of events; may be repeated only where the route says that it can be resumed.
    Stream,
};

// A service to which a route sends a share of its requests.
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
    // Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout { 0 };
    // An answer within this time is worth the most.
    std::chrono::milliseconds targetLatency { 0 };
    // Longest pause between two events of a stream that is still on time.
    std::chrono::milliseconds maximumEventGap { 0 };
    // 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> services;
    // Targets to which one request may be sent.
    unsigned maximumAttempts = 1;
    bool isPublic = false;
    bool resumable = false;
    // Regions in which the request may be handled; empty means all.
    std::vector<std::string> allowedRegions;

    bool mayRepeat() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable); }
};

// What a model service says of the weights of its replicas.
struct WeightLayout {
    unsigned pieces = 0;
    unsigned layers = 0;
    std::vector<std::string> models;
};

struct Service {
    std::string name;
    unsigned maximumConnections = 0;
    // Time after a start during which a target bears only `coldRequestsPerSecond`.
    std::chrono::milliseconds coldStart { 0 };
    double coldRequestsPerSecond = 0;
    // Set for a service of model engines.
    std::optional<WeightLayout> weights;
    // Address of the origin of weights; set for a service that is one.
    std::optional<Http::Endpoint> origin;
};

struct Organisation {
    std::string name;
    std::optional<int> priority;
    std::vector<std::string> allowedRegions;
};

// Bounds on what a caller may send.
struct CallerLimits {
    size_t maximumHeaderBytes = 16 * 1024;
    size_t maximumBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

// One version of the operators' configuration, immutable once decoded.
struct Configuration {
    uint64_t version = 0;
    // Routes by host, those with the longest prefix first.
    std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>> routes;
    std::unordered_map<std::string, Service> services;
    CallerLimits limits;
    bool hasOrganisations = false;
    std::unordered_map<std::string, std::shared_ptr<const Organisation>> organisationsByKey;
};

} // namespace Lavenderloft::Fleet
