#pragma once

#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace Lavenderloft::Soak::SoakWeights {

inline constexpr const char* model = "m0";
inline constexpr unsigned layerCount = 4;
inline constexpr unsigned piecesPerLayer = 3;
inline constexpr unsigned pieceCount = layerCount * piecesPerLayer;
inline constexpr unsigned pieceBytes = 4096;

inline std::string pieceOf(uint64_t version, unsigned index)
{
    std::minstd_rand random(static_cast<unsigned>(version * pieceCount + index + 1));
    std::string bytes(pieceBytes, '\0');
    for (auto& byte : bytes)
        byte = static_cast<char>(random() >> 8);
    return bytes;
}

// The `engine` field of a service in the configuration.
inline nlohmann::json describeEngine()
{
    auto models = nlohmann::json::array({ { { "name", model }, { "pace", 1.0 }, { "load_s", 4.0 }, { "warm_s", 0.3 } } });
    return { { "slots", 16 }, { "kv_capacity_tokens", 1640000 }, { "kv_token_bytes", 163840 }, { "models", std::move(models) }, { "layers", layerCount }, { "chunks", pieceCount }, { "chunk_bytes", pieceBytes } };
}

} // namespace Lavenderloft::Soak::SoakWeights
