#pragma once

#include "Observability/Event.h"

// Events 1000 to 1999: start, stop and settings of a process.
namespace Lavenderloft::Process {

using Observability::Event;
using Observability::Level;

inline constexpr Event processStarted { 1001, "process-started", Level::Info, "A process serves on its ports." };
inline constexpr Event processStopping { 1002, "process-stopping", Level::Info, "A planned stop began; no new work is taken on." };
inline constexpr Event processStopped { 1003, "process-stopped", Level::Info, "All running requests have ended." };
inline constexpr Event processPaused { 1004, "process-paused", Level::Warning, "The process did not run for longer than the pause limit." };
inline constexpr Event settingsReloaded { 1005, "settings-reloaded", Level::Info, "Changed settings are in force." };
inline constexpr Event settingsRefused { 1006, "settings-refused", Level::Warning, "The settings file has become unusable; the former settings stay in force." };
inline constexpr Event logLinesLeftOut { 1007, "log-lines-left-out", Level::Warning, "Lines were left out of the log because there were too many." };

} // namespace Lavenderloft::Process
