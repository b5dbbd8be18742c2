#include "Standin/Subcommands/EngineSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

void EngineSubcommand::addServerOptions(OptionTable& options)
{
    auto& behaviour = m_options.behaviour;
    options.real("tokens-per-second", behaviour.tokensPerSecond, "Tokens of all running requests together")
        .milliseconds("step-ms", behaviour.stepTime, "Shortest time between two tokens of one request")
        .number("maximum-batch", m_maximumBatch, "Requests that run at once")
        .milliseconds("load-ms", behaviour.loadTime, "Time from the order to load until the engine answers")
        .milliseconds("cold-ms", behaviour.coldTime, "Time after a load for which the engine is cold")
        .number("cold-limit", m_coldLimit, "Requests beyond which a cold engine crashes")
        .milliseconds("restart-ms", behaviour.restartTime, "Time after a crash for which every connection is cut off")
        .number("memory-limit-bytes", behaviour.memoryLimitBytes, "Memory of requests beyond which the engine crashes")
        .number("bytes-per-token", behaviour.bytesPerToken, "Memory of one generated token")
        .flag("ignore-fence", m_ignoreFence, "Accept orders with old fencing tokens")
        .text("crash-marker", behaviour.crashMarker, "Text in a prompt that crashes the engine")
        .milliseconds("status-lag-ms", behaviour.statusLag, "How old a status may be");
}

void EngineSubcommand::completeOptions()
{
    m_options.behaviour.checksFence = !m_ignoreFence;
    m_options.behaviour.maximumBatch = static_cast<unsigned>(m_maximumBatch);
    m_options.behaviour.coldLimit = static_cast<unsigned>(m_coldLimit);
}

} // namespace Lavenderloft::Standin::Subcommands
