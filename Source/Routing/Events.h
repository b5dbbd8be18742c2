#pragma once

#include "Observability/Event.h"

// Events 4000 to 4999: routing and streaming.
namespace Lavenderloft::Routing {

using Observability::Event;
using Observability::Level;

inline constexpr Event attemptRouted { 4001, "attempt-routed", Level::Info, "A request was sent to a target; the reason tells how the target was selected." };
inline constexpr Event attemptRefused { 4002, "attempt-refused", Level::Info, "A target refused a request without running it." };
inline constexpr Event attemptBroken { 4003, "attempt-broken", Level::Warning, "An attempt failed: its stream broke or its response was incomplete or invalid." };
inline constexpr Event attemptRetried { 4004, "attempt-retried", Level::Info, "A request is retried for the given reason." };
inline constexpr Event attemptResolved { 4005, "attempt-resolved", Level::Info, "An agent was asked for the outcome of an attempt whose stream broke." };
inline constexpr Event requestFailed { 4006, "request-failed", Level::Info, "An error was returned to the caller; the outcome tells whether the request may have run." };
inline constexpr Event requestCut { 4007, "request-cut", Level::Warning, "A response was aborted after a part of it was sent to the caller." };
inline constexpr Event frameDropped { 4008, "frame-dropped", Level::Warning, "A frame was ignored because it belongs to another attempt or arrived after the end of the response." };
inline constexpr Event slowReaderCut { 4009, "slow-reader-cut", Level::Warning, "The stream blocked for the longest time was aborted because all streams together reached streamBudgetBytes." };
inline constexpr Event crashRecorded { 4010, "crash-recorded", Level::Warning, "An engine crashed while a request ran on its target." };
inline constexpr Event requestQuarantined { 4011, "request-quarantined", Level::Warning, "A request was refused because it crashed two targets before." };
inline constexpr Event requestWaiting { 4012, "request-waiting", Level::Info, "A hazard message or an interrupted response waits before the next attempt." };
inline constexpr Event channelReplaced { 4013, "channel-replaced", Level::Warning, "An unresponsive or broken connection to an agent is replaced." };
inline constexpr Event requestHeld { 4014, "request-held", Level::Warning, "A request that ran on two crashed targets is held back until all reports on the crashes should have arrived." };
inline constexpr Event answerResumed { 4015, "answer-resumed", Level::Warning, "A response whose stream broke is resumed at another target from the given token." };

} // namespace Lavenderloft::Routing
