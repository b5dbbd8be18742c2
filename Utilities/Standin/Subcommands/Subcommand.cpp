#include "Standin/Subcommands/Subcommand.h"

#include <iostream>
#include <stdexcept>

namespace Lavenderloft::Standin::Subcommands {

ExitCode Subcommand::run(const std::vector<std::string>& arguments)
{
    OptionTable options("lavenderloft-standin", *this);
    addOptions(options);
    if (auto code = options.parseOrExplain(arguments))
        return *code;
    try {
        return runWithOptions();
    } catch (const std::invalid_argument& error) {
        std::cerr << "lavenderloft-standin: " << error.what() << '\n';
        return ExitCode::Usage;
    } catch (const std::runtime_error& error) {
        std::cerr << "lavenderloft-standin: " << error.what() << '\n';
        return ExitCode::Refused;
    }
}

Http::Endpoint endpointOption(const std::string& option, const std::string& value)
{
    auto endpoint = Http::parseEndpoint(value);
    if (!Base::succeeded(endpoint))
        throw std::invalid_argument("option --" + option + ": " + Base::errorOf(endpoint).describe());
    return Base::valueOf(endpoint);
}

void printReady(const std::string& host, uint16_t port)
{
    std::cout << "ready " << host << ':' << port << std::endl;
}

} // namespace Lavenderloft::Standin::Subcommands
