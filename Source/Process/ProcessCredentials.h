#pragma once

#include "Settings/ProcessSettings.h"
#include "Transport/Credentials.h"

namespace Lavenderloft::Process {

// The credentials that the settings ask for. Throws std::runtime_error with the setting at fault.
Transport::SharedCredentials credentialsOf(const Settings::ProcessSettings&);

} // namespace Lavenderloft::Process
