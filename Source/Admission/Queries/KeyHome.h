#pragma once

#include "DesiredState/Document.h"

#include <string>

namespace Lavenderloft::Admission::Queries {

// Name of the VM that alone runs the calls of an organisation under a key; empty if the service has no VM.
std::string keyHome(const DesiredState::Service&, const std::string& organisation, const std::string& key);

} // namespace Lavenderloft::Admission::Queries
