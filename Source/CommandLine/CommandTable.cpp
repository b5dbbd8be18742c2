#include "CommandLine/CommandTable.h"

#include <iostream>
#include <popt.h>

namespace Lavenderloft::CommandLine {

CommandTable::CommandTable(std::string program, CommandList commands)
    : m_program(std::move(program))
    , m_commands(std::move(commands))
{
}

int CommandTable::run(int argc, char** argv)
{
    return static_cast<int>(dispatch(argc, argv));
}

ExitCode CommandTable::dispatch(int argc, char** argv)
{
    int showHelp = 0;
    int showVersion = 0;
    poptOption options[] = {
        { "help", 'h', POPT_ARG_NONE, &showHelp, 0, "Show this help", nullptr },
        { "version", 'V', POPT_ARG_NONE, &showVersion, 0, "Show the version", nullptr },
        POPT_TABLEEND
    };
    // POSIXMEHARDER stops at the first argument, so that options after the subcommand are passed to the subcommand.
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(m_program.c_str(), argc, const_cast<const char**>(argv), options, POPT_CONTEXT_POSIXMEHARDER), poptFreeContext);
    auto status = poptGetNextOpt(context.get());
    if (status < -1) {
        std::cerr << m_program << ": option " << poptBadOption(context.get(), 0) << ": " << poptStrerror(status) << "; see " << m_program << " --help\n";
        return ExitCode::Usage;
    }
    if (showHelp) {
        printHelp(std::cout);
        return ExitCode::Success;
    }
    if (showVersion) {
        std::cout << m_program << ' ' << LAVENDERLOFT_VERSION << '\n';
        return ExitCode::Success;
    }
    const char* name = poptGetArg(context.get());
    if (!name) {
        printHelp(std::cerr);
        return ExitCode::Usage;
    }
    std::vector<std::string> arguments;
    while (const char* argument = poptGetArg(context.get()))
        arguments.emplace_back(argument);
    return runNamed(name, arguments);
}

ExitCode CommandTable::runNamed(const std::string& name, const std::vector<std::string>& arguments)
{
    for (auto& command : m_commands) {
        if (command->name() == name)
            return command->run(arguments);
    }
    std::cerr << m_program << ": unknown command \"" << name << "\"; see " << m_program << " --help\n";
    return ExitCode::Usage;
}

void CommandTable::printHelp(std::ostream& output) const
{
    output << "Usage: " << m_program << " COMMAND [ARGUMENTS]\n       " << m_program << " --help | --version\n\nCommands:\n";
    for (auto& command : m_commands)
        output << "  " << command->name() << ' ' << command->argumentSynopsis() << "\n      " << command->summary() << '\n';
    output << "\nEach command explains its options with --help. Exit codes: 0 success, 1 the input was refused, 2 usage error.\n";
}

} // namespace Lavenderloft::CommandLine
