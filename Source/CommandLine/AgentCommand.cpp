#include "CommandLine/AgentCommand.h"

#include <cstdlib>
#include <iostream>
#include <popt.h>

namespace Lavenderloft::CommandLine {

AgentCommand::AgentCommand(std::unique_ptr<AgentRunner> runner)
    : m_runner(std::move(runner))
{
}

ExitCode AgentCommand::run(const std::vector<std::string>& arguments)
{
    std::vector<const char*> argumentPointers { "agent" };
    for (auto& argument : arguments)
        argumentPointers.push_back(argument.c_str());
    argumentPointers.push_back(nullptr);
    char* settings = nullptr;
    poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &settings, 0, "Settings of the process", "FILE" },
        POPT_TABLEEND
    };
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("lavenderloft agent", static_cast<int>(arguments.size() + 1), argumentPointers.data(), options, 0), poptFreeContext);
    auto status = poptGetNextOpt(context.get());
    std::string settingsFile = settings ? settings : "";
    std::free(settings);
    if (status < -1) {
        std::cerr << "lavenderloft agent: option " << poptBadOption(context.get(), 0) << ": " << poptStrerror(status) << '\n';
        return ExitCode::Usage;
    }
    if (const char* surplus = poptGetArg(context.get())) {
        std::cerr << "lavenderloft agent: argument \"" << surplus << "\" is not expected; use " << argumentSynopsis() << '\n';
        return ExitCode::Usage;
    }
    if (settingsFile.empty()) {
        std::cerr << "lavenderloft agent: option --settings is missing; use " << argumentSynopsis() << '\n';
        return ExitCode::Usage;
    }
    return m_runner->run(settingsFile);
}

} // namespace Lavenderloft::CommandLine
