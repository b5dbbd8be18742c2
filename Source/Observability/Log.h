#pragma once

#include "Observability/Event.h"

#include <chrono>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Lavenderloft::Observability {

// A named value of a log line.
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

// Sets up log4cxx with a console appender. Until it is called, nothing is logged.
void configureLogging(Level minimum, Layout, Output = Output::StandardError);

// As above, for a process whose lines nobody may read for a while: lines are bounded in number and written
// by a thread of their own, and what the reader does not take is dropped and counted.
void configureRateLimitedLogging(Level minimum, Layout, Output);

// Lines that were left out since the last call because of the bound.
uint64_t takeSuppressedLines();

// Whether lines of the event would be written, to spare building costly fields.
bool isLogged(const Event&);

// Writes one line with the event's number and name and the fields.
void logEvent(const Event&, std::initializer_list<Field>);

} // namespace Lavenderloft::Observability
