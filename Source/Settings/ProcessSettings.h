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
    // Name of the plain service; empty for a model engine.
    std::string service;
};

struct LogSettings {
    Observability::Level level = Observability::Level::Info;
    Observability::Layout layout = Observability::Layout::Plain;
};

// Certificates of the connections between the system's processes, as PEM files.
struct TlsSettings {
    // The process's certificate, followed by those of intermediate authorities if there are any.
    std::string certificateFile;
    // The private key of the certificate, without a passphrase.
    std::string keyFile;
    // Certificates of the authorities whose certificates are accepted.
    std::string authorityFile;
    // How often the files are read again.
    std::chrono::seconds reloadInterval { 10 };
};

// Settings of one process, checked when they are read. Addresses are IP:port.
struct ProcessSettings {
    std::string vm;
    std::string region;
    std::string dataCentre;
    std::string inner;
    std::string admin;
    // Where callers connect; routers only.
    std::string callers;
    std::string configurationService;
    std::string vmList;
    std::string weightStore;
    // Region whose agents read the weight store; empty if no region is nearer to it than the others.
    std::string weightStoreRegion;
    // Seed addresses of other processes, beside the VM list.
    std::vector<std::string> peers;
    std::optional<TargetSettings> target;
    // Absent only if plainTextOnLoopback is set.
    std::optional<TlsSettings> tls;
    // Connections between processes are neither encrypted nor checked; all inner addresses are loopback ones.
    bool plainTextOnLoopback = false;
    uint64_t weightMemoryBytes = 4294967296;
    uint64_t streamBudgetBytes = 67108864;
    uint64_t interRegionLinkBitsPerSecond = 25000000;
    double rolloutShareOfLink = 0.6;
    LogSettings log;
};

} // namespace Lavenderloft::Settings
