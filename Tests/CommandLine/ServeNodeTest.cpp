#include "CommandLine/NodeRouterCommand.h"
#include "platform/PlatformAdapter.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace Lavenderloft;

namespace {

// Sends this process the signal while its settings are read, and has none.
class SignallingPlatform final : public Process::NodePlatform {
public:
    explicit SignallingPlatform(int signal)
        : m_signal(signal)
    {
    }

    Base::Result<Fleet::NodeSettings, Fleet::NodeSettingsError> readSettings() const override
    {
        std::raise(m_signal);
        return Fleet::NodeSettingsError { Fleet::NodeSettingsErrorKind::Unreadable, "no settings", "none" };
    }

    const Fleet::StoreProtocol& store() const override { return m_adapter.store(); }
    const Fleet::PublicationDecoder& publications() const override { return m_adapter.publications(); }
    const Proxy::CallerProtocol& callers() const override { return m_adapter.callers(); }
    const Staging::EngineProtocol& engines() const override { return m_adapter.engines(); }

private:
    int m_signal;
    Platform::PlatformAdapter m_adapter;
};

} // namespace

// Guards against a node that ends because its settings changed, or the reader of its log left, in the first moments of its
// start.
Test(ServeNode, isNotEndedByAHangupOrABrokenLogDuringItsStart)
{
    for (int signal : { SIGHUP, SIGPIPE }) {
        SignallingPlatform platform(signal);
        CommandLine::NodeRouterCommand command(platform);
        cr_assert(command.run({}) == CommandLine::ExitCode::Refused);
    }
}
