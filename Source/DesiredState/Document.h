#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::DesiredState {

// Classes of requests, the most urgent first.
enum class PriorityClass {
    Hazard,
    Interactive,
    Summary,
};

inline constexpr size_t priorityClassCount = 3;

struct Region {
    std::string name;
};

enum class DataCentreState {
    In,
    // Taken out by operators: no new work.
    Out,
};

struct DataCentre {
    std::string name;
    std::string region;
    DataCentreState state = DataCentreState::In;
};

// The replicas of one model version.
struct Pool {
    std::string name;
    // Digest of the manifest, the identity of the model version.
    std::string manifest;
    std::vector<std::string> adapters;
    unsigned replicas = 0;
    // Transfers of a higher number go first.
    unsigned priority = 100;
    // Data centres that may hold replicas; empty means all that are in.
    std::vector<std::string> dataCentres;
    unsigned maxUnavailable = 1;
    // Requests at a time that a replica bears just after a cold start, and when warm.
    unsigned coldLimit = 1;
    unsigned fullLimit = 16;
    std::chrono::milliseconds warmWindow { 1000 };
    // Whether the engines refuse an order that carries an old fencing token.
    bool checksFence = false;
};

struct Service {
    std::string name;
    std::vector<std::string> vms;
    // Requests at a time at each target.
    unsigned limit = 16;
    // No call that may not be repeated is run while paused.
    bool paused = false;
    // Time within which callers may resend a call under the same key.
    std::chrono::milliseconds resendWindow { 600000 };
};

enum class RouteKind {
    ToPool,
    ToService,
};

struct Route {
    // Path prefix; the longest match wins.
    std::string path;
    RouteKind kind = RouteKind::ToPool;
    // Name of the pool or service.
    std::string destination;
    bool repeatable = false;
    PriorityClass priorityClass = PriorityClass::Interactive;
    // Digest of the pool's adapter that answers; empty if the base model does.
    std::string adapter;
};

struct Organisation {
    std::string name;
    // Weight in the division of capacity.
    unsigned share = 1;
};

// The desired state of the fleet, immutable once parsed.
struct Document {
    uint64_t revision = 0;
    std::vector<Region> regions;
    std::vector<DataCentre> dataCentres;
    std::vector<Pool> pools;
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<Organisation> organisations;
    // Names of VMs that take on no new work.
    std::vector<std::string> drains;

    const Pool* findPool(const std::string& name) const;
    const Service* findService(const std::string& name) const;
    const DataCentre* findDataCentre(const std::string& name) const;
    const Organisation* findOrganisation(const std::string& name) const;

    // The route with the longest path prefix that matches; a prefix ends at a slash or at the end of the path.
    const Route* findRoute(const std::string& path) const;

    bool isDataCentreOut(const std::string& name) const;
    bool isDrained(const std::string& vm) const;
};

} // namespace Lavenderloft::DesiredState
