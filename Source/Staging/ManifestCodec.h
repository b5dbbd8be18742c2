#pragma once

#include "Staging/EngineProtocol.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Staging {

// Agents give each other the manifest of a version, so that one that starts while the origin is away can take
// the pieces from others.
inline constexpr std::string_view manifestPathPrefix = "/manifest/";

// Writes "/manifest/MODEL/VERSION".
std::string encodeManifestPath(const std::string& model, uint64_t version);

std::string encodeManifest(const PieceManifest&);

// Nothing if the bytes are no manifest with digests.
std::optional<PieceManifest> decodeManifest(const std::string& bytes);

} // namespace Lavenderloft::Staging
