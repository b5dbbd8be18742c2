#pragma once

#include <string_view>

namespace Lavenderloft::Observability {

enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

// A type of log line. Numbers are unique and never reused; docs/events.md lists all events.
struct Event {
    int number;
    std::string_view name;
    Level level;
    std::string_view meaning;
};

} // namespace Lavenderloft::Observability
