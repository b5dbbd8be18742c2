#include "Standin/Subcommands/ServiceSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

void ServiceSubcommand::addServerOptions(OptionTable& options)
{
    options.milliseconds("delay-ms", m_options.delay, "Time that each call runs");
}

} // namespace Lavenderloft::Standin::Subcommands
