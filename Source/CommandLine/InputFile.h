#pragma once

#include "Base/Result.h"

#include <string>

namespace Lavenderloft::CommandLine {

enum class InputErrorKind {
    // The file does not exist or cannot be read.
    NotReadable,
    TooLarge,
};

using InputError = Base::Error<InputErrorKind>;

// Returns the contents of a file of at most Json::maxFileBytes.
Base::Result<std::string, InputError> readInputFile(const std::string& path);

} // namespace Lavenderloft::CommandLine
