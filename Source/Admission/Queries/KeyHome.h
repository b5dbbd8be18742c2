#pragma once

#include "DesiredState/Document.h"

#include <string>

namespace Lavenderloft::Admission::Queries {

// Name of the only VM that may run the calls of an organisation with a key; empty if the service has no VM.
std::string keyHome(const DesiredState::Service&, const std::string& organisation, const std::string& key);

} // namespace Lavenderloft::Admission::Queries
