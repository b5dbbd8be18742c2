#pragma once

#include <string>

namespace Lavenderloft::Standin {

// Returns the contents of a file. Throws std::runtime_error that names the file.
std::string readFile(const std::string& path);

// Replaces a file atomically, so that a reader never sees partial contents. Throws std::runtime_error that names the file.
void writeFile(const std::string& path, const std::string& bytes);

} // namespace Lavenderloft::Standin
