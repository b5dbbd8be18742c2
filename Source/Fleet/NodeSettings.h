#pragma once

#include "Base/Result.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Fleet {

// Time bounds that the operators of the platform set for the whole fleet.
struct FleetBounds {
    // From SIGTERM to SIGKILL.
    std::chrono::milliseconds grace { 8000 };
    // Declared weights are in force within this time.
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

// What one process of a platform node is told of itself.
struct NodeSettings {
    std::string node;
    std::string address;
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string> regionByDataCentre;
    std::optional<Http::Endpoint> callerListen;
    std::optional<Http::Endpoint> readyListen;
    // First and last port for messages between nodes; the same on all VMs.
    uint16_t firstPeerPort = 0;
    uint16_t lastPeerPort = 0;
    // Addresses of a few nodes; may be out of date.
    std::vector<std::string> seedAddresses;
    Http::Endpoint store;
    // Engine on the same VM.
    std::optional<Http::Endpoint> localEngine;
    std::string localService;
    // Rate of this VM's own link; zero if it is not told.
    double linkBitsPerSecond = 0;
    FleetBounds bounds;

    std::string regionOf(const std::string& otherDataCentre) const
    {
        auto found = regionByDataCentre.find(otherDataCentre);
        return found == regionByDataCentre.end() ? std::string() : found->second;
    }
};

} // namespace Lavenderloft::Fleet
