#pragma once

#include "Base/Result.h"

#include <string>

namespace Lavenderloft::CommandLine {

enum class InputErrorKind {
    // The file does not exist or may not be read.
    NotReadable,
    TooLarge,
};

using InputError = Base::Error<InputErrorKind>;

// The bytes of a file that an operator named, up to the limit of a JSON file.
Base::Result<std::string, InputError> readInputFile(const std::string& path);

} // namespace Lavenderloft::CommandLine
