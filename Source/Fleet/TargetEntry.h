#pragma once

#include "Base/Clock.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Fleet {

// Layers of one version of a model that an engine holds.
struct HeldLayers {
    unsigned from = 0;
    // Exclusive.
    unsigned to = 0;
    uint64_t version = 0;

    bool operator==(const HeldLayers&) const = default;
};

// Version of the weights if all layers of the model are held; zero otherwise.
uint64_t wholeVersionOf(const std::optional<HeldLayers>&, unsigned layers);

// What a target publishes of itself.
struct TargetEntry {
    // New with most starts of the target.
    std::string id;
    std::string service;
    Http::Endpoint address;
    std::string dataCentre;
    unsigned slots = 0;
    bool draining = false;
    // How long the target stays cold, counted from the moment at which the entry was written.
    std::chrono::milliseconds coldRemaining { 0 };
    // Nothing if the engine holds none, or the target is no engine.
    std::optional<HeldLayers> layers;

    bool operator==(const TargetEntry&) const = default;
};

} // namespace Lavenderloft::Fleet
