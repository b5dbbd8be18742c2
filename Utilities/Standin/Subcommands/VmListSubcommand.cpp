#include "Standin/Subcommands/VmListSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

void VmListSubcommand::addServerOptions(OptionTable& options)
{
    options.text("file", m_options.file, "File with {\"vms\":[...]}")
        .milliseconds("lag-ms", m_options.lag, "Delay until a change is visible to readers");
}

} // namespace Lavenderloft::Standin::Subcommands
