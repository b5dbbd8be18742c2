#include "CommandLine/ServeCommand.h"

#include "CommandLine/CheckedInput.h"
#include "CommandLine/OptionTable.h"
#include "Observability/Log.h"

#include <iostream>
#include <stdexcept>

namespace Lavenderloft::CommandLine {

ExitCode serve(const Command& command, const std::vector<std::string>& arguments, const std::function<void(const Settings::ProcessSettings&)>& run)
{
    std::string settingsFile;
    OptionTable options(programName, command);
    options.text("settings", settingsFile, "Settings of the process").shortName('s', "FILE");
    if (auto code = options.parseOrExplain(arguments))
        return *code;
    if (settingsFile.empty()) {
        std::cerr << "lavenderloft " << command.name() << ": option --settings is missing; use " << command.argumentSynopsis() << '\n';
        return ExitCode::Usage;
    }
    auto settings = readSettingsInput(settingsFile);
    if (auto* code = std::get_if<ExitCode>(&settings))
        return *code;
    auto& checked = std::get<Settings::ProcessSettings>(settings);
    Observability::configureLogging(checked.log.level, checked.log.layout);
    try {
        run(checked);
    } catch (const std::runtime_error& error) {
        std::cerr << "lavenderloft " << command.name() << ": " << error.what() << '\n';
        return ExitCode::Refused;
    }
    return ExitCode::Success;
}

} // namespace Lavenderloft::CommandLine
