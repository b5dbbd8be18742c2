#pragma once

#include "Observability/Event.h"

#include <chrono>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Lavenderloft::Observability {

// A named value in a log line.
struct Field {
    std::string_view name;
    std::string value;

    Field(std::string_view fieldName, std::string fieldValue)
        : name(fieldName)
        , value(std::move(fieldValue))
    {
    }

    Field(std::string_view fieldName, std::string_view fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {
    }

    Field(std::string_view fieldName, const char* fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {
    }

    template <std::integral Number>
    Field(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(std::to_string(number))
    {
    }

    Field(std::string_view fieldName, double number)
        : name(fieldName)
        , value(std::to_string(number))
    {
    }

    Field(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag ? "true" : "false")
    {
    }

    // Durations are written in milliseconds.
    Field(std::string_view fieldName, std::chrono::steady_clock::duration duration)
        : name(fieldName)
        , value(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + "ms")
    {
    }
};

enum class Layout {
    Plain,
    Json,
};

enum class Output {
    StandardError,
    StandardOutput,
};

// Configures log4cxx with a console appender. Nothing is logged before the first call.
void configureLogging(Level minimum, Layout, Output = Output::StandardError);

// As above, for a process whose output may not be read for a while: lines are rate limited and written by a
// separate thread, and lines that the output does not accept are dropped and counted.
void configureRateLimitedLogging(Level minimum, Layout, Output);

// Ends the process with the status, also if nobody reads the output of the log: lines that it has not taken after a moment are
// lost.
[[noreturn]] void exitProcess(int status);

// The number of lines suppressed by the rate limit since the last call.
uint64_t takeSuppressedLines();

// Whether lines of the event are written, so that callers can skip computing expensive fields.
bool isLogged(const Event&);

// Writes one line with the number and name of the event and the fields.
void logEvent(const Event&, std::initializer_list<Field>);

} // namespace Lavenderloft::Observability
