#include "CommandLine/CheckCommand.h"

#include "CommandLine/CheckedInput.h"
#include "CommandLine/OptionParser.h"

#include <iostream>

namespace Lavenderloft::CommandLine {

ExitCode CheckCommand::run(const std::vector<std::string>& arguments)
{
    bool isSettings = false;
    OptionParser options(*this);
    options.addFlag("settings", 's', isSettings, "FILE holds the settings of a process");
    options.expectArguments(1, 1);
    auto parsed = options.parse(arguments);
    if (auto* code = std::get_if<ExitCode>(&parsed))
        return *code;
    auto& path = std::get<OptionParser::Arguments>(parsed).front();
    return isSettings ? checkSettingsFile(path) : checkDesiredState(path);
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
