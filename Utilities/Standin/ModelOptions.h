#pragma once

#include "Standin/SyntheticModel.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Lavenderloft::Standin {

// Parses {"model","version","sizeBytes","chunkSize","seed","sharedPercent"}; the last two are optional.
// Throws std::invalid_argument that names the invalid member.
ModelSpec modelSpecFromJson(const nlohmann::json&);

// Parses MODEL:VERSION:SIZE:CHUNKSIZE[:SEED[:SHAREDPERCENT]], sizes in bytes.
// Throws std::invalid_argument with the expected format.
ModelSpec modelSpecFromText(const std::string&);

} // namespace Lavenderloft::Standin
