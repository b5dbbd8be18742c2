#pragma once

#include "Observability/Event.h"

// Events 8500 to 8999: tasks of the event loops.
namespace Lavenderloft::Http::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event taskFailed { 8501, "task-failed", Level::Error, "A task of the process ended with an exception and is started again." };
inline constexpr Event connectionClosed { 8502, "connection-closed", Level::Info, "A server for nodes or of the product's own fleet has as many connections, or as much unread or unfinished data, as it accepts: a connection was closed or refused." };
inline constexpr Event taskEnded { 8503, "task-ended", Level::Error, "A connection, a request or a handler of an event loop ended with an exception; what it held was released, and the process goes on." };

} // namespace Lavenderloft::Http::Events
