#pragma once

#include "Observability/Event.h"

// Events 1000 to 1999: start, stop and settings of a process.
namespace Lavenderloft::Process {

using Observability::Event;
using Observability::Level;

inline constexpr Event processStarted { 1001, "process-started", Level::Info, "The process serves on its ports." };
inline constexpr Event processStopping { 1002, "process-stopping", Level::Info, "A graceful shutdown has begun; the process accepts no new requests." };
inline constexpr Event processStopped { 1003, "process-stopped", Level::Info, "The process ends; the field open_requests counts the requests that have not ended." };
inline constexpr Event processPaused { 1004, "process-paused", Level::Warning, "The process was suspended for longer than the pause limit." };
inline constexpr Event settingsReloaded { 1005, "settings-reloaded", Level::Info, "Changed settings are in force." };
inline constexpr Event settingsRefused { 1006, "settings-refused", Level::Warning, "The changed settings are invalid; the previous settings stay in force." };
inline constexpr Event logLinesLeftOut { 1007, "log-lines-left-out", Level::Warning, "Log lines were dropped because the log budget was exceeded." };
inline constexpr Event promptPartBlocked { 1008, "prompt-part-blocked", Level::Warning, "Targets crashed one after the other while requests with this prompt part ran there, and none was answered; such requests are refused." };
inline constexpr Event promptPartReleased { 1009, "prompt-part-released", Level::Info, "Requests with this prompt part are accepted again." };
inline constexpr Event targetHoldBackEnded { 1010, "target-hold-back-ended", Level::Info, "The time for which a target held this router back has passed; it gets one request at a time until it has served one." };
inline constexpr Event requestsEnded { 1011, "requests-ended", Level::Warning, "The grace period is nearly over; the requests that are still open get a final response." };

} // namespace Lavenderloft::Process
