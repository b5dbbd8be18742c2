#pragma once

#include "CommandLine/Command.h"

#include <string>
#include <variant>
#include <vector>

namespace Lavenderloft::CommandLine {

// Reads the options and arguments of one subcommand with popt. Every subcommand has --help.
class OptionParser {
public:
    explicit OptionParser(const Command&);

    // An option without a value; the flag is set to true if the option is given.
    void addFlag(const std::string& name, char letter, bool& flag, const std::string& help);

    // An option with a value; the text is left alone if the option is absent.
    void addText(const std::string& name, char letter, std::string& text, const std::string& valueName, const std::string& help);

    // The number of arguments that are no options must lie in this range.
    void expectArguments(size_t least, size_t greatest);

    using Arguments = std::vector<std::string>;

    // The arguments that are no options; or an exit code, once the help or a usage error is printed.
    std::variant<Arguments, ExitCode> parse(const std::vector<std::string>& arguments);

private:
    struct Option {
        std::string name;
        char letter;
        std::string valueName;
        std::string help;
        bool* flag;
        std::string* text;
    };

    void printHelp() const;
    ExitCode refuse(const std::string& message) const;

    const Command& m_command;
    std::vector<Option> m_options;
    size_t m_leastArguments = 0;
    size_t m_greatestArguments = 0;
};

} // namespace Lavenderloft::CommandLine
