#pragma once

#include "Base/Result.h"
#include "CommandLine/Command.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace Lavenderloft::CommandLine {

enum class OptionErrorKind {
    Malformed,
    HelpRequested,
};

using OptionError = Base::Error<OptionErrorKind>;

// Parses the options and positional arguments of a subcommand with popt and adds --help. The variable of an option
// that is not given keeps its value.
class OptionTable {
public:
    // The help text contains the synopsis and summary of the command.
    OptionTable(const std::string& program, const Command&);

    ~OptionTable();

    // Sets the short name of the option added last and, for the help text, the placeholder of its value.
    OptionTable& shortName(char letter, const char* valueName = nullptr);

    OptionTable& text(const char* name, std::string&, const char* help);
    OptionTable& texts(const char* name, std::vector<std::string>&, const char* help);
    OptionTable& number(const char* name, uint64_t&, const char* help);
    OptionTable& number(const char* name, int&, const char* help);
    OptionTable& real(const char* name, double&, const char* help);
    OptionTable& milliseconds(const char* name, std::chrono::milliseconds&, const char* help);
    OptionTable& flag(const char* name, bool&, const char* help);

    // Accepts positional arguments, whose number must be in this range. By default none are accepted.
    OptionTable& arguments(std::vector<std::string>&, size_t minimum, size_t maximum);

    // If --help is given, returns an error of kind HelpRequested with the help text as its message.
    Base::Result<Base::Done, OptionError> parse(const std::vector<std::string>& arguments);

    // Parses the arguments and prints the help text or the error, if any. Returns an exit code if the program must exit.
    std::optional<ExitCode> parseOrExplain(const std::vector<std::string>& arguments);

private:
    struct Option;

    Option& add(const char* name, int kind, const char* help, const char* valueName);
    Base::Result<Base::Done, OptionError> readOptions(poptContext);
    Base::Result<Base::Done, OptionError> readArguments(poptContext);
    Base::Result<Base::Done, OptionError> assignValues();
    OptionError malformed(std::string message) const;
    std::string helpText() const;

    const std::string m_program;
    const std::string m_synopsis;
    const std::string m_summary;
    // A deque, because popt stores values at the addresses of the options, which must not change.
    std::deque<Option> m_options;
    std::vector<std::string>* m_arguments = nullptr;
    size_t m_minimumArguments = 0;
    size_t m_maximumArguments = 0;
};

} // namespace Lavenderloft::CommandLine
