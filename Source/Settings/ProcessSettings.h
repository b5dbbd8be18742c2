#pragma once

#include "Observability/Log.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Settings {

enum class TargetKind {
    Model,
    Service,
};

struct TargetSettings {
    TargetKind kind = TargetKind::Model;
    // IP:port of the model engine or plain service.
    std::string endpoint;
    // Name of the plain service in the desired state; empty for a model engine.
    std::string service;
};

struct LogSettings {
    Observability::Level level = Observability::Level::Info;
    Observability::Layout layout = Observability::Layout::Plain;
};

// PEM files for mutual TLS between processes.
struct TlsSettings {
    // Certificate chain of the process, leaf certificate first.
    std::string certificateFile;
    // Unencrypted private key of the certificate.
    std::string keyFile;
    // Trusted certificate authorities.
    std::string authorityFile;
    // Interval at which the files are reloaded.
    std::chrono::seconds reloadInterval { 10 };
};

// Validated settings of one process. Addresses are IP:port.
struct ProcessSettings {
    std::string vm;
    std::string region;
    std::string dataCentre;
    std::string inner;
    std::string admin;
    // Address on which a router accepts callers; empty for agents.
    std::string callers;
    std::string configurationService;
    std::string vmList;
    std::string weightStore;
    // Region whose agents read the weight store; empty if it is equally close to all regions.
    std::string weightStoreRegion;
    // Seed addresses of other processes, in addition to the VM list.
    std::vector<std::string> peers;
    std::optional<TargetSettings> target;
    // Set unless plainTextOnLoopback is true.
    std::optional<TlsSettings> tls;
    // Use unencrypted and unauthenticated connections between processes. All inner addresses must be loopback addresses.
    bool plainTextOnLoopback = false;
    uint64_t weightMemoryBytes = 4294967296;
    uint64_t streamBudgetBytes = 67108864;
    uint64_t interRegionLinkBitsPerSecond = 25000000;
    double rolloutShareOfLink = 0.6;
    LogSettings log;
};

} // namespace Lavenderloft::Settings
