#include "CommandLine/CommandTable.h"

#include "CommandLine/AgentCommand.h"
#include "CommandLine/CheckCommand.h"
#include "CommandLine/DiffCommand.h"
#include "CommandLine/RouterCommand.h"
#include "CommandLine/StatusCommand.h"

#include <iostream>
#include <popt.h>

namespace Lavenderloft::CommandLine {

namespace {

    void printHelp(std::ostream& output, const std::vector<std::unique_ptr<Command>>& commands)
    {
        output << "Usage: lavenderloft COMMAND [ARGUMENTS]\n"
                  "       lavenderloft --help | --version\n\n"
                  "Commands:\n";
        for (auto& command : commands)
            output << "  " << command->name() << ' ' << command->argumentSynopsis() << "\n      " << command->summary() << '\n';
        output << "\nExit codes: 0 success, 1 the input was refused, 2 usage.\n";
    }

    int exitStatus(ExitCode code)
    {
        return static_cast<int>(code);
    }

} // namespace

std::vector<std::unique_ptr<Command>> makeCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<AgentCommand>());
    commands.push_back(std::make_unique<CheckCommand>());
    commands.push_back(std::make_unique<DiffCommand>());
    commands.push_back(std::make_unique<RouterCommand>());
    commands.push_back(std::make_unique<StatusCommand>());
    return commands;
}

int runCommand(int argc, char** argv)
{
    auto commands = makeCommands();
    int showHelp = 0;
    int showVersion = 0;
    poptOption options[] = {
        { "help", 'h', POPT_ARG_NONE, &showHelp, 0, "Show this help", nullptr },
        { "version", 'V', POPT_ARG_NONE, &showVersion, 0, "Show the version", nullptr },
        POPT_TABLEEND
    };
    // Options after the subcommand belong to the subcommand.
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("lavenderloft", argc, const_cast<const char**>(argv), options, POPT_CONTEXT_POSIXMEHARDER), poptFreeContext);
    auto status = poptGetNextOpt(context.get());
    if (status < -1) {
        std::cerr << "lavenderloft: option " << poptBadOption(context.get(), 0) << ": " << poptStrerror(status)
                  << "; see lavenderloft --help\n";
        return exitStatus(ExitCode::Usage);
    }
    if (showHelp) {
        printHelp(std::cout, commands);
        return exitStatus(ExitCode::Success);
    }
    if (showVersion) {
        std::cout << "lavenderloft " << LAVENDERLOFT_VERSION << '\n';
        return exitStatus(ExitCode::Success);
    }
    const char* name = poptGetArg(context.get());
    if (!name) {
        printHelp(std::cerr, commands);
        return exitStatus(ExitCode::Usage);
    }
    std::vector<std::string> arguments;
    while (const char* argument = poptGetArg(context.get()))
        arguments.emplace_back(argument);
    for (auto& command : commands) {
        if (command->name() == name)
            return exitStatus(command->run(arguments));
    }
    std::cerr << "lavenderloft: no command is named \"" << name << "\"; see lavenderloft --help\n";
    return exitStatus(ExitCode::Usage);
}

} // namespace Lavenderloft::CommandLine
