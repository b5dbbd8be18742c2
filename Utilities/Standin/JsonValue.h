#pragma once

#include <string>

namespace Lavenderloft::Standin {

// The value that a JSON pointer names, texts without quotation marks; empty if there is none.
// Throws std::runtime_error if the text is not JSON or the pointer is malformed.
std::string valueAt(const std::string& json, const std::string& pointer);

} // namespace Lavenderloft::Standin
