#include "Standin/Subcommands/VmListSubcommand.h"

#include "Standin/StopSignal.h"

namespace Lavenderloft::Standin::Subcommands {

void VmListSubcommand::addOptions(OptionTable& options)
{
    options.text("listen", m_listen, "IP:port to serve on; port 0 picks a free one")
        .text("file", m_options.file, "File with {\"vms\":[...]}")
        .milliseconds("lag-ms", m_options.lag, "Time until readers see a change");
}

ExitCode VmListSubcommand::runWithOptions()
{
    StopSignal stop;
    m_options.listen = endpointOption("listen", m_listen);
    VmList list(m_options);
    announceReady(m_options.listen.host, list.port());
    stop.wait();
    return ExitCode::Success;
}

} // namespace Lavenderloft::Standin::Subcommands
