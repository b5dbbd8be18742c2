#pragma once

#include <string>

namespace Lavenderloft::Standin {

// The bytes of a file. Throws std::runtime_error that names the file.
std::string readFile(const std::string& path);

// Replaces a file as a whole, so that a reader never sees a part. Throws std::runtime_error.
void writeFile(const std::string& path, const std::string& bytes);

} // namespace Lavenderloft::Standin
