#pragma once

#include "Settings/ProcessSettings.h"
#include "Transport/Credentials.h"

namespace Lavenderloft::Process {

// Creates the credentials named in the settings. Throws std::runtime_error that names the invalid setting.
Transport::SharedCredentials makeProcessCredentials(const Settings::ProcessSettings&);

} // namespace Lavenderloft::Process
