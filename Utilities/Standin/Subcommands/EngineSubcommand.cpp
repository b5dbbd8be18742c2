#include "Standin/Subcommands/EngineSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

void EngineSubcommand::addServerOptions(OptionTable& options)
{
    auto& behaviour = m_options.behaviour;
    options.real("tokens-per-second", behaviour.tokensPerSecond, "Total tokens per second of all running requests")
        .milliseconds("step-ms", behaviour.stepTime, "Minimum time between two tokens of one request")
        .number("maximum-batch", m_maximumBatch, "Requests that run concurrently; others are queued")
        .milliseconds("load-ms", behaviour.loadTime, "Time from a load order until the engine serves requests")
        .milliseconds("cold-ms", behaviour.coldTime, "Time after a load for which the engine is cold")
        .number("cold-limit", m_coldLimit, "Number of requests above which a cold engine crashes")
        .milliseconds("restart-ms", behaviour.restartTime, "Time after a crash during which every connection is aborted")
        .number("memory-limit-bytes", behaviour.memoryLimitBytes, "Memory of all requests above which the engine crashes")
        .number("bytes-per-token", behaviour.bytesPerToken, "Memory per generated token")
        .flag("ignore-fence", m_ignoreFence, "Accept orders with stale fencing tokens")
        .text("crash-marker", behaviour.crashMarker, "Text in a prompt that crashes the engine")
        .milliseconds("status-lag-ms", behaviour.statusLag, "Maximum age of the reported status");
}

void EngineSubcommand::completeOptions()
{
    m_options.behaviour.checksFence = !m_ignoreFence;
    m_options.behaviour.maximumBatch = static_cast<unsigned>(m_maximumBatch);
    m_options.behaviour.coldLimit = static_cast<unsigned>(m_coldLimit);
}

} // namespace Lavenderloft::Standin::Subcommands
