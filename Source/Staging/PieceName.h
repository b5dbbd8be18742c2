#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Staging {

// Identifies a piece in a request from one agent to another.
struct PieceName {
    std::string model;
    uint64_t version = 0;
    unsigned piece = 0;
    // Region of the requesting agent.
    std::string region;

    bool operator==(const PieceName&) const = default;
};

inline constexpr std::string_view piecePathPrefix = "/piece/";

// Returns "/piece/REGION/MODEL/VERSION/INDEX".
std::string encodePiecePath(const PieceName&);

// Returns nullopt if the path does not have this form.
std::optional<PieceName> decodePiecePath(std::string_view path);

} // namespace Lavenderloft::Staging
