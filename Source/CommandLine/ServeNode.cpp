#include "CommandLine/ServeNode.h"

#include "Base/FileDescriptors.h"
#include "CommandLine/OptionTable.h"
#include "Observability/Log.h"

#include <csignal>
#include <iostream>
#include <stdexcept>

namespace Lavenderloft::CommandLine {

namespace {

    // Connections to callers, targets and nodes; takes 66 KB.
    constexpr size_t reservedDescriptors = 8192;

    // A signal to read the settings again must not end the process before the settings are watched, nor may a reader of the
    // log that closes its end.
    void ignoreEarlySignals()
    {
        std::signal(SIGHUP, SIG_IGN);
        std::signal(SIGPIPE, SIG_IGN);
    }

} // namespace

ExitCode serveNode(const Command& command, const std::vector<std::string>& arguments, const Process::NodePlatform& platform, const NodeProcess& process)
{
    ignoreEarlySignals();
    OptionTable options(programName, command);
    if (auto code = options.parseOrExplain(arguments))
        return *code;
    auto settings = platform.readSettings();
    if (!Base::succeeded(settings)) {
        std::cerr << "lavenderloft " << command.name() << ": " << Base::errorOf(settings).describe() << '\n';
        return ExitCode::Refused;
    }
    // Before the thread of the log starts.
    Base::reserveFileDescriptors(reservedDescriptors);
    Observability::configureRateLimitedLogging(Observability::Level::Info, Observability::Layout::Json, Observability::Output::StandardOutput);
    try {
        process(Base::valueOf(settings), platform);
    } catch (const std::runtime_error& error) {
        std::cerr << "lavenderloft " << command.name() << ": " << error.what() << '\n';
        return ExitCode::Refused;
    }
    return ExitCode::Success;
}

} // namespace Lavenderloft::CommandLine
