#include "Standin/Subcommands/LoadSubcommand.h"

#include "Standin/FileContent.h"
#include "Standin/StopSignal.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Lavenderloft::Standin::Subcommands {

namespace {

    constexpr std::chrono::milliseconds reportInterval { 1000 };

} // namespace

void LoadSubcommand::addOptions(OptionTable& options)
{
    options.texts("router", m_routers, "IP:port of a router's listener for callers; may be repeated")
        .text("path", m_options.path, "Path of the route")
        .number("callers", m_callers, "Number of concurrent callers")
        .milliseconds("time-ms", m_time, "Duration for which requests are sent; SIGTERM ends it early")
        .number("tokens", m_tokens, "Tokens per response")
        .number("prompt-bytes", m_promptBytes, "Padding of each prompt")
        .texts("organisation", m_options.organisations, "Value of X-Organisation, assigned to the callers in turn; may be repeated")
        .text("priority", m_options.priority, "Value of X-Priority")
        .milliseconds("pause-ms", m_options.pause, "Delay before a caller's next request after a success")
        .milliseconds("error-pause-ms", m_options.errorPause, "Delay before a caller's next request after a failure")
        .milliseconds("idle-timeout-ms", m_options.idleTimeout, "Time without progress after which a request fails")
        .number("seed", m_options.seed, "Seed of the random choice of routers")
        .text("report", m_reportFile, "File to which the current summary is written every second");
}

ExitCode LoadSubcommand::runWithOptions()
{
    if (m_routers.empty())
        throw std::invalid_argument("option --router is required; specify the address of a router");
    for (auto& router : m_routers)
        m_options.routers.push_back(endpointOption("router", router));
    m_options.callers = static_cast<unsigned>(m_callers);
    m_options.tokens = static_cast<unsigned>(m_tokens);
    m_options.promptBytes = m_promptBytes;
    StopSignal stop;
    LoadGenerator generator(m_options);
    generator.start();
    bool stopped = false;
    for (auto remaining = m_time; remaining.count() > 0 && !stopped; remaining -= reportInterval) {
        stopped = stop.waitFor(std::min(remaining, reportInterval));
        if (!m_reportFile.empty())
            writeFile(m_reportFile, toJson(generator.summary()).dump() + "\n");
    }
    auto summary = generator.finish();
    auto text = toJson(summary).dump(2) + "\n";
    if (!m_reportFile.empty())
        writeFile(m_reportFile, text);
    std::cout << text;
    return summary.hasInvariantViolation() ? ExitCode::Refused : ExitCode::Success;
}

} // namespace Lavenderloft::Standin::Subcommands
