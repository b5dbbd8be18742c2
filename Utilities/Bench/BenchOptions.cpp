#include "Bench/BenchOptions.h"

#include <iostream>
#include <memory>
#include <popt.h>

namespace Lavenderloft::Bench {

bool parseOptions(const std::vector<std::string>& arguments, const std::vector<BenchOption>& options)
{
    std::vector<poptOption> table;
    for (auto& option : options)
        table.push_back({ option.name, '\0', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, option.value, 0, option.description, nullptr });
    table.push_back(POPT_TABLEEND);
    std::vector<const char*> words { "lavenderloft-bench" };
    for (auto& argument : arguments)
        words.push_back(argument.c_str());
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, static_cast<int>(words.size()), words.data(), table.data(), 0), poptFreeContext);
    auto status = poptGetNextOpt(context.get());
    if (status < -1) {
        std::cerr << "option " << poptBadOption(context.get(), 0) << ": " << poptStrerror(status) << '\n';
        return false;
    }
    if (const char* extra = poptGetArg(context.get())) {
        std::cerr << "argument \"" << extra << "\" is not expected; give options as --name number\n";
        return false;
    }
    return true;
}

} // namespace Lavenderloft::Bench
