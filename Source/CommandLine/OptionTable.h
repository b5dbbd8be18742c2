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

// The options and arguments of a subcommand, read with popt. Every subcommand has --help. The variables
// keep their values for options that are not given.
class OptionTable {
public:
    // The help text shows the command's synopsis and summary.
    OptionTable(const std::string& program, const Command&);

    ~OptionTable();

    // Gives the option that was added last a letter and, for the help text, a name of its value.
    OptionTable& shortName(char letter, const char* valueName = nullptr);

    OptionTable& text(const char* name, std::string&, const char* help);
    OptionTable& texts(const char* name, std::vector<std::string>&, const char* help);
    OptionTable& number(const char* name, uint64_t&, const char* help);
    OptionTable& number(const char* name, int&, const char* help);
    OptionTable& real(const char* name, double&, const char* help);
    OptionTable& milliseconds(const char* name, std::chrono::milliseconds&, const char* help);
    OptionTable& flag(const char* name, bool&, const char* help);

    // The arguments that are no options; their number must lie in this range. Without a call none is allowed.
    OptionTable& arguments(std::vector<std::string>&, size_t least, size_t greatest);

    // The error's message is the help text if that was asked for.
    Base::Result<Base::Done, OptionError> parse(const std::vector<std::string>& arguments);

    // Parses and prints the help text or the error; gives the exit code if the program is to end.
    std::optional<ExitCode> parseOrExplain(const std::vector<std::string>& arguments);

private:
    struct Entry;

    Entry& add(const char* name, int kind, const char* help, const char* valueName);
    Base::Result<Base::Done, OptionError> readOptions(poptContext);
    Base::Result<Base::Done, OptionError> readArguments(poptContext);
    Base::Result<Base::Done, OptionError> assignValues();
    OptionError malformed(std::string message) const;
    std::string helpText() const;

    const std::string m_program;
    const std::string m_synopsis;
    const std::string m_summary;
    // A deque, so that popt can keep addresses of the entries.
    std::deque<Entry> m_entries;
    std::vector<std::string>* m_arguments = nullptr;
    size_t m_leastArguments = 0;
    size_t m_greatestArguments = 0;
};

} // namespace Lavenderloft::CommandLine
