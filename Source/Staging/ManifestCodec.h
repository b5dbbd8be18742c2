#pragma once

#include "Staging/EngineProtocol.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Staging {

// Agents serve manifests to each other, so that an agent that starts while the origin is unreachable can still
// fetch the pieces from other agents.
inline constexpr std::string_view manifestPathPrefix = "/manifest/";

// Returns "/manifest/MODEL/VERSION".
std::string encodeManifestPath(const std::string& model, uint64_t version);

std::string encodeManifest(const PieceManifest&);

// Returns nullopt unless the bytes are a manifest with at least one digest.
std::optional<PieceManifest> decodeManifest(const std::string& bytes);

} // namespace Lavenderloft::Staging
