#pragma once

#include <string>
#include <vector>

namespace Lavenderloft::CommandLine {

// Name of the program, as users type it.
inline constexpr const char* programName = "lavenderloft";

// Exit codes of the program.
enum class ExitCode {
    Success = 0,
    // The input was read and refused.
    Refused = 1,
    Usage = 2,
};

// A subcommand. Arguments exclude the program's and the subcommand's name.
class Command {
public:
    virtual ~Command() = default;

    virtual std::string name() const = 0;
    virtual std::string argumentSynopsis() const = 0;
    virtual std::string summary() const = 0;
    virtual ExitCode run(const std::vector<std::string>& arguments) = 0;
};

} // namespace Lavenderloft::CommandLine
