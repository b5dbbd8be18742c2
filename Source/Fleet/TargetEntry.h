#pragma once

#include "Base/Clock.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Fleet {

// The range of layers of one model version that an engine has loaded.
struct HeldLayers {
    unsigned from = 0;
    // One past the last layer.
    unsigned to = 0;
    uint64_t version = 0;

    bool operator==(const HeldLayers&) const = default;
};

// Returns the version if all layers of the model are loaded, and 0 otherwise.
uint64_t wholeVersionOf(const std::optional<HeldLayers>&, unsigned layers);

// The entry that a target publishes in the store.
struct TargetEntry {
    // Usually changes when the target restarts.
    std::string id;
    std::string service;
    Http::Endpoint address;
    std::string dataCentre;
    unsigned slots = 0;
    bool draining = false;
    // Remaining duration of the cold start when the entry was written.
    std::chrono::milliseconds coldRemaining { 0 };
    // Empty if no weights are loaded, or if the target is not an engine.
    std::optional<HeldLayers> layers;
    // Differs between incarnations that have the same id; zero if unknown.
    uint64_t startedAt = 0;

    bool operator==(const TargetEntry&) const = default;
};

} // namespace Lavenderloft::Fleet
