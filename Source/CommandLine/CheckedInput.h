#pragma once

#include "CommandLine/Command.h"
#include "DesiredState/Document.h"
#include "Settings/ProcessSettings.h"

#include <string>
#include <variant>

namespace Lavenderloft::CommandLine {

// A valid desired state read from a file.
struct DocumentInput {
    DesiredState::Document document;
    // SHA-256 of the file.
    std::string digest;
    size_t size = 0;
};

// Read and validate a file. On failure they print all problems with the file name to standard error and return the
// exit code.
std::variant<DocumentInput, ExitCode> readDocumentInput(const std::string& path);
std::variant<Settings::ProcessSettings, ExitCode> readSettingsInput(const std::string& path);

} // namespace Lavenderloft::CommandLine
