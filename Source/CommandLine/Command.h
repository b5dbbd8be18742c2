#pragma once

#include <string>
#include <vector>

namespace Lavenderloft::CommandLine {

// Name of the executable.
inline constexpr const char* programName = "lavenderloft";

enum class ExitCode {
    Success = 0,
    // The input is invalid, or the command failed.
    Refused = 1,
    Usage = 2,
};

// A subcommand. The arguments do not include the names of the program and the subcommand.
class Command {
public:
    virtual ~Command() = default;

    virtual std::string name() const = 0;
    virtual std::string argumentSynopsis() const = 0;
    virtual std::string summary() const = 0;
    virtual ExitCode run(const std::vector<std::string>& arguments) = 0;
};

} // namespace Lavenderloft::CommandLine
