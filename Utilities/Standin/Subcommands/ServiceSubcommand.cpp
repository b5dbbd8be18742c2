#include "Standin/Subcommands/ServiceSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

void ServiceSubcommand::addServerOptions(OptionTable& options)
{
    options.milliseconds("delay-ms", m_options.delay, "Execution time of each call");
}

} // namespace Lavenderloft::Standin::Subcommands
