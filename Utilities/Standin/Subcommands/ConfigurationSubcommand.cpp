#include "Standin/Subcommands/ConfigurationSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

void ConfigurationSubcommand::addServerOptions(OptionTable& options)
{
    options.text("file", m_options.file, "File with the desired state; read again by POST /test/reload")
        .real("calls-per-second", m_options.callsPerSecond, "Calls allowed a second");
}

} // namespace Lavenderloft::Standin::Subcommands
