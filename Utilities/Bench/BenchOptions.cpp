#include "Bench/BenchOptions.h"

#include "CommandLine/OptionTable.h"

namespace Lavenderloft::Bench {

std::optional<CommandLine::ExitCode> parseOptions(const CommandLine::Command& command, const std::vector<std::string>& arguments, const std::vector<BenchOption>& options)
{
    CommandLine::OptionTable table("lavenderloft-bench", command);
    for (auto& option : options)
        table.number(option.name, *option.value, option.description);
    return table.parseOrExplain(arguments);
}

} // namespace Lavenderloft::Bench
