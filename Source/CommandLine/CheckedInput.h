#pragma once

#include "CommandLine/Command.h"
#include "DesiredState/Document.h"
#include "Settings/ProcessSettings.h"

#include <string>
#include <variant>

namespace Lavenderloft::CommandLine {

// A desired state read from a file.
struct DocumentInput {
    DesiredState::Document document;
    // SHA-256 of the bytes.
    std::string digest;
    size_t size = 0;
};

// Read and check a file that an operator named. On failure they print all problems on standard error,
// each with the name of the file, and give the exit code.
std::variant<DocumentInput, ExitCode> readDocumentInput(const std::string& path);
std::variant<Settings::ProcessSettings, ExitCode> readSettingsInput(const std::string& path);

} // namespace Lavenderloft::CommandLine
