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
    options.texts("router", m_routers, "IP:port where a router takes callers; may be repeated")
        .text("path", m_options.path, "Path of the route")
        .number("callers", m_callers, "Requests at a time")
        .milliseconds("time-ms", m_time, "Time for which requests are started; SIGTERM ends it early")
        .number("tokens", m_tokens, "Tokens of each answer")
        .number("prompt-bytes", m_promptBytes, "Bytes added to each prompt")
        .texts("organisation", m_options.organisations, "X-Organisation, taken in turn by the callers; may be repeated")
        .text("priority", m_options.priority, "X-Priority")
        .milliseconds("pause-ms", m_options.pause, "Pause of a caller after an answer")
        .milliseconds("error-pause-ms", m_options.errorPause, "Pause of a caller after an error")
        .milliseconds("idle-timeout-ms", m_options.idleTimeout, "Time without progress after which a response is given up")
        .number("seed", m_options.seed, "Seed of the choice of routers")
        .text("report", m_reportFile, "File that holds the summary so far, replaced every second");
}

ExitCode LoadSubcommand::runWithOptions()
{
    if (m_routers.empty())
        throw std::invalid_argument("option --router is missing; give the address of a router");
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
