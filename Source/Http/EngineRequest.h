#pragma once

#include "DesiredState/Document.h"

#include <string>

namespace Lavenderloft::Http {

// Sets the member "priority" of a request to a model engine, in which higher numbers run first. A body
// that is not a JSON object stays as it is, for the engine to refuse.
std::string withPriority(const std::string& body, DesiredState::PriorityClass);

} // namespace Lavenderloft::Http
