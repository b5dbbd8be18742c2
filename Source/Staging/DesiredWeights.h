#pragma once

#include "Fleet/FleetSnapshot.h"
#include "Http/HttpMessage.h"

#include <string>

namespace Lavenderloft::Staging {

// The model version that the local engine should have loaded.
struct DesiredWeights {
    std::string model;
    Fleet::DeclaredWeights declared;
    unsigned layers = 0;
    unsigned pieces = 0;
    Http::Endpoint origin;
    // Zero if unknown.
    uint64_t pieceBytes = 0;
    double originBitsPerSecond = 0;
};

} // namespace Lavenderloft::Staging
