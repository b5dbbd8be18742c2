#include "CommandLine/CheckCommand.h"

#include "CommandLine/CheckedInput.h"
#include "CommandLine/OptionTable.h"

#include <iostream>

namespace Lavenderloft::CommandLine {

ExitCode CheckCommand::run(const std::vector<std::string>& arguments)
{
    bool isSettings = false;
    std::vector<std::string> paths;
    OptionTable options(programName, *this);
    options.flag("settings", isSettings, "FILE holds the settings of a process").shortName('s').arguments(paths, 1, 1);
    if (auto code = options.parseOrExplain(arguments))
        return *code;
    return isSettings ? checkSettingsFile(paths.front()) : checkDesiredState(paths.front());
}

ExitCode CheckCommand::checkDesiredState(const std::string& path)
{
    auto input = readDocumentInput(path);
    if (auto* code = std::get_if<ExitCode>(&input))
        return *code;
    auto& [document, digest, size] = std::get<DocumentInput>(input);
    std::cout << path << ": valid desired state, revision " << document.revision << ", " << size << " bytes, digest " << digest << '\n';
    return ExitCode::Success;
}

ExitCode CheckCommand::checkSettingsFile(const std::string& path)
{
    auto input = readSettingsInput(path);
    if (auto* code = std::get_if<ExitCode>(&input))
        return *code;
    auto& settings = std::get<Settings::ProcessSettings>(input);
    std::cout << path << ": valid settings of " << (settings.target ? "an agent" : "a router") << " on " << settings.vm << '\n';
    return ExitCode::Success;
}

} // namespace Lavenderloft::CommandLine
