#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::DesiredState {

// Priority classes of requests, most urgent first.
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
    // Taken out of service by operators; receives no new work.
    Out,
};

struct DataCentre {
    std::string name;
    std::string region;
    DataCentreState state = DataCentreState::In;
};

// A set of replicas that serve the same model version.
struct Pool {
    std::string name;
    // Digest of the manifest, which identifies the model version.
    std::string manifest;
    std::vector<std::string> adapters;
    unsigned replicas = 0;
    // Transfers for pools with a greater value take precedence.
    unsigned priority = 100;
    // Data centres in which replicas are allowed; empty allows all that are in.
    std::vector<std::string> dataCentres;
    unsigned maxUnavailable = 1;
    // Concurrent requests of one replica immediately after a cold start, and when it is warm.
    unsigned coldLimit = 1;
    unsigned fullLimit = 16;
    std::chrono::milliseconds warmWindow { 1000 };
    // Whether the engines reject orders with an outdated fencing token.
    bool checksFence = false;
};

struct Service {
    std::string name;
    std::vector<std::string> vms;
    // Concurrent requests on each target.
    unsigned limit = 16;
    // While true, calls that may not be repeated are refused.
    bool paused = false;
    // Time within which callers may resend a call with the same idempotency key.
    std::chrono::milliseconds resendWindow { 600000 };
};

enum class RouteKind {
    ToPool,
    ToService,
};

struct Route {
    // Path prefix; the longest matching prefix is used.
    std::string path;
    RouteKind kind = RouteKind::ToPool;
    // Name of the pool or service.
    std::string destination;
    bool repeatable = false;
    PriorityClass priorityClass = PriorityClass::Interactive;
    // Digest of the adapter that serves the calls; empty for the base model.
    std::string adapter;
};

struct Organisation {
    std::string name;
    // Weight of the organisation when capacity is divided.
    unsigned share = 1;
};

// The desired state of the fleet; not modified after parsing.
struct Document {
    uint64_t revision = 0;
    std::vector<Region> regions;
    std::vector<DataCentre> dataCentres;
    std::vector<Pool> pools;
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<Organisation> organisations;
    // Names of VMs that receive no new work.
    std::vector<std::string> drains;

    const Pool* findPool(const std::string& name) const;
    const Service* findService(const std::string& name) const;
    const DataCentre* findDataCentre(const std::string& name) const;
    const Organisation* findOrganisation(const std::string& name) const;

    // Finds the route with the longest matching path prefix. A prefix matches only complete path segments.
    const Route* findRoute(const std::string& path) const;

    bool isDataCentreOut(const std::string& name) const;
    bool isDrained(const std::string& vm) const;
};

} // namespace Lavenderloft::DesiredState
