#include "CommandLine/OptionParser.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>

namespace Lavenderloft::CommandLine {

namespace {

    using Context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

    // Values that popt returns for options; those of the subcommand follow.
    constexpr int helpValue = 1;
    constexpr int firstOptionValue = 2;

    std::string takeText(char* text)
    {
        std::string copy = text ? text : "";
        free(text);
        return copy;
    }

} // namespace

OptionParser::OptionParser(const Command& command)
    : m_command(command)
{
}

void OptionParser::addFlag(const std::string& name, char letter, bool& flag, const std::string& help)
{
    m_options.push_back({ name, letter, {}, help, &flag, nullptr });
}

void OptionParser::addText(const std::string& name, char letter, std::string& text, const std::string& valueName, const std::string& help)
{
    m_options.push_back({ name, letter, valueName, help, nullptr, &text });
}

void OptionParser::expectArguments(size_t least, size_t greatest)
{
    m_leastArguments = least;
    m_greatestArguments = greatest;
}

std::variant<OptionParser::Arguments, ExitCode> OptionParser::parse(const std::vector<std::string>& arguments)
{
    std::vector<poptOption> table { { "help", 'h', POPT_ARG_NONE, nullptr, helpValue, nullptr, nullptr } };
    int value = firstOptionValue;
    for (auto& option : m_options) {
        unsigned kind = option.flag ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({ option.name.c_str(), option.letter, kind, nullptr, value++, nullptr, nullptr });
    }
    table.push_back(POPT_TABLEEND);

    auto program = m_command.name();
    std::vector<const char*> argv { program.c_str() };
    for (auto& argument : arguments)
        argv.push_back(argument.c_str());
    argv.push_back(nullptr);
    Context context(poptGetContext(program.c_str(), static_cast<int>(argv.size()) - 1, argv.data(), table.data(), 0), poptFreeContext);

    int status = 0;
    while ((status = poptGetNextOpt(context.get())) > 0) {
        if (status == helpValue) {
            printHelp();
            return ExitCode::Success;
        }
        auto& option = m_options[status - firstOptionValue];
        if (option.flag)
            *option.flag = true;
        else
            *option.text = takeText(poptGetOptArg(context.get()));
    }
    if (status < -1)
        return refuse("option " + std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(status));

    Arguments rest;
    while (const char* argument = poptGetArg(context.get()))
        rest.emplace_back(argument);
    if (rest.size() < m_leastArguments)
        return refuse("an argument is missing");
    if (rest.size() > m_greatestArguments)
        return refuse("the argument \"" + rest[m_greatestArguments] + "\" is one too many");
    return rest;
}

void OptionParser::printHelp() const
{
    std::cout << "Usage: lavenderloft " << m_command.name() << " [OPTIONS] " << m_command.argumentSynopsis() << "\n"
              << m_command.summary() << "\n\nOptions:\n";
    for (auto& option : m_options) {
        std::cout << "  ";
        if (option.letter)
            std::cout << '-' << option.letter << ", ";
        std::cout << "--" << option.name;
        if (option.text)
            std::cout << '=' << option.valueName;
        std::cout << "\n      " << option.help << '\n';
    }
    std::cout << "  -h, --help\n      Show this help\n";
}

ExitCode OptionParser::refuse(const std::string& message) const
{
    std::cerr << "lavenderloft " << m_command.name() << ": " << message << "; see lavenderloft " << m_command.name() << " --help\n";
    return ExitCode::Usage;
}

} // namespace Lavenderloft::CommandLine
