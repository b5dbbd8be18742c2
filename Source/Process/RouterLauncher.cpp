#include "Process/RouterLauncher.h"

#include "Observability/Log.h"
#include "Process/Events.h"
#include "Process/RouterComposition.h"

#include <boost/asio.hpp>
#include <csignal>

namespace Lavenderloft::Process {

namespace {

    // The platform stops a VM 60 s after SIGTERM. The rest is for the errors of requests that are open at the limit.
    constexpr std::chrono::seconds drainLimit { 58 };

    void waitForStopSignal()
    {
        boost::asio::io_context context;
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([](const boost::system::error_code&, int) {});
        context.run();
    }

} // namespace

void runRouter(const Settings::ProcessSettings& settings)
{
    RouterComposition router(settings);
    auto& process = router.process();
    router.start();
    Observability::logEvent(processStarted, { { "role", "router" }, { "vm", settings.vm }, { "innerPort", router.innerPort() }, { "callersPort", process.callersPort() }, { "adminPort", process.adminPort() } });
    waitForStopSignal();
    router.drain(drainLimit);
}

} // namespace Lavenderloft::Process
