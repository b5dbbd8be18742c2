#pragma once

#include <string>

namespace Lavenderloft::Standin {

// Returns the value at a JSON pointer, strings without quotation marks; empty if there is no such value.
// Throws std::runtime_error if the text is not JSON or the pointer is malformed.
std::string valueAt(const std::string& json, const std::string& pointer);

} // namespace Lavenderloft::Standin
