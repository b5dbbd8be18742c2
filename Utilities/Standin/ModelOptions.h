#pragma once

#include "Standin/SyntheticModel.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Lavenderloft::Standin {

// Reads {"model","version","sizeBytes","chunkSize","seed","sharedPercent"}; the last two may be absent.
// Throws std::invalid_argument that names the member at fault.
ModelSpec modelSpecFromJson(const nlohmann::json&);

// Reads MODEL:VERSION:SIZE:CHUNKSIZE[:SEED[:SHAREDPERCENT]], sizes in bytes.
// Throws std::invalid_argument with the expected form.
ModelSpec modelSpecFromText(const std::string&);

} // namespace Lavenderloft::Standin
