#include "Standin/Subcommands/ConfigurationSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

void ConfigurationSubcommand::addServerOptions(OptionTable& options)
{
    options.text("file", m_options.file, "Desired-state file; read again by POST /test/reload")
        .real("calls-per-second", m_options.callsPerSecond, "Maximum calls per second");
}

} // namespace Lavenderloft::Standin::Subcommands
