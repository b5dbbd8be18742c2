#pragma once

#include "Base/Result.h"
#include "Settings/ProcessSettings.h"
#include "Json/Problem.h"

#include <string_view>

namespace Lavenderloft::Settings::Queries {

// Parses and validates the settings file of a process.
Base::Result<ProcessSettings, Json::CheckError> parseSettings(std::string_view bytes);

} // namespace Lavenderloft::Settings::Queries
