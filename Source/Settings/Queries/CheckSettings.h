#pragma once

#include "Settings/ProcessSettings.h"
#include "Json/ProblemSink.h"

namespace Lavenderloft::Settings::Queries {

// Validates settings, including combinations of fields. Empty texts represent fields that are not set.
void checkSettings(const ProcessSettings&, Json::ProblemSink&);

} // namespace Lavenderloft::Settings::Queries
