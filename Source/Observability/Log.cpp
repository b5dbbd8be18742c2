#include "Observability/Log.h"

#include "Observability/LogRateLimiter.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace Lavenderloft::Observability {

namespace {

    // Time for the output to take what is buffered when the process ends.
    constexpr std::chrono::milliseconds drainTime { 500 };

    std::atomic<bool> s_configured { false };
    std::atomic<Level> s_minimum { Level::Info };
    std::atomic<Layout> s_layout { Layout::Plain };
    // Set before the process starts other threads, so access needs no lock.
    std::unique_ptr<LogRateLimiter> s_rateLimiter;

    const log4cxx::LoggerPtr& logger()
    {
        static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("lavenderloft");
        return instance;
    }

    log4cxx::LevelPtr toLog4cxx(Level level)
    {
        switch (level) {
        case Level::Debug:
            return log4cxx::Level::getDebug();
        case Level::Info:
            return log4cxx::Level::getInfo();
        case Level::Warning:
            return log4cxx::Level::getWarn();
        case Level::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getInfo();
    }

    std::string_view levelName(Level level)
    {
        switch (level) {
        case Level::Debug:
            return "debug";
        case Level::Info:
            return "info";
        case Level::Warning:
            return "warning";
        case Level::Error:
            return "error";
        }
        return "info";
    }

    std::string plainLine(const Event& event, std::initializer_list<Field> fields)
    {
        std::string line = "LL" + std::to_string(event.number);
        line.append(" ").append(event.name);
        for (auto& field : fields) {
            line.append(" ").append(field.name).append("=");
            if (field.value.find_first_of(" \"\n") == std::string::npos)
                line.append(field.value);
            else
                line.append(nlohmann::json(field.value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        }
        return line;
    }

    std::string jsonLine(const Event& event, std::initializer_list<Field> fields)
    {
        nlohmann::ordered_json line;
        line["event"] = "LL" + std::to_string(event.number);
        line["name"] = event.name;
        line["level"] = levelName(event.level);
        for (auto& field : fields)
            line[std::string(field.name)] = field.value;
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

} // namespace

namespace {

    log4cxx::AppenderPtr makeConsoleAppender(Layout layout, Output output)
    {
        // Wraps the JSON object of the event, so that every line is one JSON object that includes the time.
        const auto* pattern = layout == Layout::Json
            ? "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}\",\"entry\":%m}%n"
            : "%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %m%n";
        auto patternLayout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR(""));
        log4cxx::LogString converted;
        log4cxx::helpers::Transcoder::decode(std::string(pattern), converted);
        patternLayout->setConversionPattern(converted);
        return std::make_shared<log4cxx::ConsoleAppender>(patternLayout, output == Output::StandardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr());
    }

    void configure(Level minimum, Layout layout, const log4cxx::AppenderPtr& appender)
    {
        log4cxx::BasicConfigurator::resetConfiguration();
        log4cxx::BasicConfigurator::configure(appender);
        logger()->setLevel(toLog4cxx(minimum));
        s_minimum = minimum;
        s_layout = layout;
        s_configured = true;
    }

} // namespace

void configureLogging(Level minimum, Layout layout, Output output)
{
    s_rateLimiter.reset();
    configure(minimum, layout, makeConsoleAppender(layout, output));
}

void configureRateLimitedLogging(Level minimum, Layout layout, Output output)
{
    // Lines buffered while the output is blocked.
    constexpr int appenderBufferLines = 256;
    auto appender = std::make_shared<log4cxx::AsyncAppender>();
    appender->setBufferSize(appenderBufferLines);
    appender->setBlocking(false);
    appender->addAppender(makeConsoleAppender(layout, output));
    s_rateLimiter = std::make_unique<LogRateLimiter>();
    configure(minimum, layout, appender);
}

void exitProcess(int status)
{
    // The end of the appender waits for its write without a bound.
    std::thread([status] {
        std::this_thread::sleep_for(drainTime);
        std::_Exit(status);
    }).detach();
    std::exit(status);
}

uint64_t takeSuppressedLines()
{
    return s_rateLimiter ? s_rateLimiter->takeSuppressedLines() : 0;
}

bool isLogged(const Event& event)
{
    return s_configured && event.level >= s_minimum.load();
}

void logEvent(const Event& event, std::initializer_list<Field> fields)
{
    if (!isLogged(event))
        return;
    if (s_rateLimiter && !s_rateLimiter->admit(event, std::chrono::steady_clock::now()))
        return;
    auto line = s_layout.load() == Layout::Json ? jsonLine(event, fields) : plainLine(event, fields);
    log4cxx::LogString converted;
    log4cxx::helpers::Transcoder::decode(line, converted);
    logger()->forcedLog(toLog4cxx(event.level), converted, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace Lavenderloft::Observability
