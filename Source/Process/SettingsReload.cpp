#include "Process/SettingsReload.h"

#include "Observability/Log.h"
#include "Process/Events.h"

#include <csignal>

namespace Lavenderloft::Process {

namespace {

    constexpr std::chrono::seconds reloadInterval { 10 };

} // namespace

SettingsReload::SettingsReload(const NodePlatform& platform)
    : m_platform(platform)
{
}

void SettingsReload::watch(boost::asio::io_context& context, Handler handler)
{
    m_handler = std::move(handler);
    m_signals = std::make_unique<boost::asio::signal_set>(context, SIGHUP);
    m_timer = std::make_unique<boost::asio::steady_timer>(context);
    waitForSignal();
    waitForInterval();
}

void SettingsReload::waitForSignal()
{
    m_signals->async_wait([this](const boost::system::error_code& error, int) {
        if (error)
            return;
        reload("signal");
        waitForSignal();
    });
}

void SettingsReload::waitForInterval()
{
    m_timer->expires_after(reloadInterval);
    m_timer->async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        reload("interval");
        waitForInterval();
    });
}

void SettingsReload::reload(std::string_view cause)
{
    auto settings = m_platform.readSettings();
    if (!Base::succeeded(settings)) {
        Observability::logEvent(settingsRefused, { { "cause", cause }, { "problem", Base::errorOf(settings).describe() } });
        return;
    }
    m_handler(Base::valueOf(settings));
    if (cause == "signal")
        Observability::logEvent(settingsReloaded, { { "cause", cause } });
}

} // namespace Lavenderloft::Process
