#pragma once

#include "Settings/ProcessSettings.h"
#include "Json/ProblemSink.h"

namespace Lavenderloft::Settings::Queries {

// Reports what is wrong with the values of settings and between them. Empty texts stand for fields
// that are absent.
void checkSettings(const ProcessSettings&, Json::ProblemSink&);

} // namespace Lavenderloft::Settings::Queries
