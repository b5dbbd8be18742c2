#include "Standin/Subcommands/ConfigurationSubcommand.h"

#include "Standin/StopSignal.h"

namespace Lavenderloft::Standin::Subcommands {

void ConfigurationSubcommand::addOptions(OptionTable& options)
{
    options.text("listen", m_listen, "IP:port to serve on; port 0 picks a free one")
        .text("file", m_options.file, "File with the desired state; read again by POST /test/reload")
        .real("calls-per-second", m_options.callsPerSecond, "Calls allowed a second");
}

ExitCode ConfigurationSubcommand::runWithOptions()
{
    StopSignal stop;
    m_options.listen = endpointOption("listen", m_listen);
    ConfigurationService service(m_options);
    announceReady(m_options.listen.host, service.port());
    stop.wait();
    return ExitCode::Success;
}

} // namespace Lavenderloft::Standin::Subcommands
