#pragma once

#include "Observability/Event.h"

// Events 8500 to 8999: tasks of the event loops.
namespace Lavenderloft::Http::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event taskFailed { 8501, "task-failed", Level::Error, "A task of the process ended with an exception and is started again." };

} // namespace Lavenderloft::Http::Events
