#pragma once

#include "Base/Result.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Fleet {

// Old weights are excluded this long before the bound, because a request may be queued at the engine before it runs.
inline constexpr std::chrono::milliseconds weightsMargin { 1000 };

// Fleet-wide bounds set by the platform's operators.
struct FleetBounds {
    // Time between SIGTERM and SIGKILL.
    std::chrono::milliseconds grace { 8000 };
    // Deadline for applying a configuration, counted from its publication.
    std::chrono::milliseconds configuration { 2000 };
    // Deadline for using declared weights, counted from the declaration.
    std::chrono::milliseconds weights { 8000 };
    double retryRatio = 0.2;
    std::chrono::seconds retryWindow { 10 };
    double retrySlack = 100;
};

enum class NodeSettingsErrorKind {
    Unreadable,
    Invalid,
};

using NodeSettingsError = Base::Error<NodeSettingsErrorKind>;

// Settings of one process on a platform node.
struct NodeSettings {
    std::string node;
    std::string address;
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string> regionByDataCentre;
    std::optional<Http::Endpoint> callerListen;
    std::optional<Http::Endpoint> readyListen;
    // Port range for communication between nodes, the same on all VMs.
    uint16_t firstPeerPort = 0;
    uint16_t lastPeerPort = 0;
    // Addresses of some nodes, which may be outdated.
    std::vector<std::string> seedAddresses;
    Http::Endpoint store;
    // The engine on the same VM, if any.
    std::optional<Http::Endpoint> localEngine;
    std::string localService;
    // Bandwidth of this VM's link; zero if unknown.
    double linkBitsPerSecond = 0;
    // Memory that the process may use; zero if unknown.
    uint64_t memoryBytes = 0;
    FleetBounds bounds;

    std::string regionOf(const std::string& otherDataCentre) const
    {
        auto found = regionByDataCentre.find(otherDataCentre);
        return found == regionByDataCentre.end() ? std::string() : found->second;
    }
};

} // namespace Lavenderloft::Fleet
