#include "Standin/Subcommands/ServiceSubcommand.h"

#include "Standin/StopSignal.h"

namespace Lavenderloft::Standin::Subcommands {

void ServiceSubcommand::addOptions(OptionTable& options)
{
    options.text("listen", m_listen, "IP:port to serve on; port 0 picks a free one")
        .milliseconds("delay-ms", m_options.delay, "Time that each call runs");
}

ExitCode ServiceSubcommand::runWithOptions()
{
    StopSignal stop;
    m_options.listen = endpointOption("listen", m_listen);
    PlainService service(m_options);
    announceReady(m_options.listen.host, service.port());
    stop.wait();
    return ExitCode::Success;
}

} // namespace Lavenderloft::Standin::Subcommands
