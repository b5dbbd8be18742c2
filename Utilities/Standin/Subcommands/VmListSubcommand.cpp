#include "Standin/Subcommands/VmListSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

void VmListSubcommand::addServerOptions(OptionTable& options)
{
    options.text("file", m_options.file, "File with {\"vms\":[...]}")
        .milliseconds("lag-ms", m_options.lag, "Time until readers see a change");
}

} // namespace Lavenderloft::Standin::Subcommands
