#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Staging {

// Names a piece in a request of one agent to another.
struct PieceName {
    std::string model;
    uint64_t version = 0;
    unsigned piece = 0;
    // Region of the agent that asks.
    std::string region;

    bool operator==(const PieceName&) const = default;
};

inline constexpr std::string_view piecePathPrefix = "/piece/";

// Writes "/piece/REGION/MODEL/VERSION/INDEX".
std::string encodePiecePath(const PieceName&);

// Nothing if the path does not have this form.
std::optional<PieceName> decodePiecePath(std::string_view path);

} // namespace Lavenderloft::Staging
