#pragma once

#include "Process/NodePlatform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Lavenderloft::Process {

// Reloads the settings on SIGHUP and periodically, because they can change without a signal. If the new settings
// are invalid, the error is logged and the previous ones stay in force.
class SettingsReload {
public:
    using Handler = std::function<void(const Fleet::NodeSettings&)>;

    explicit SettingsReload(const NodePlatform&);

    // Calls the handler on the event loop with each valid set of settings.
    void watch(boost::asio::io_context&, Handler);

private:
    void reload(std::string_view cause);
    void waitForSignal();
    void waitForInterval();

    const NodePlatform& m_platform;
    Handler m_handler;
    std::unique_ptr<boost::asio::signal_set> m_signals;
    std::unique_ptr<boost::asio::steady_timer> m_timer;
};

} // namespace Lavenderloft::Process
