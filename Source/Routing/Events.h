#pragma once

#include "Observability/Event.h"

// Events 4000 to 4999: routing and streaming.
namespace Lavenderloft::Routing {

using Observability::Event;
using Observability::Level;

inline constexpr Event attemptRouted { 4001, "attempt-routed", Level::Info, "A request was routed to a target, for the reason given." };
inline constexpr Event attemptRefused { 4002, "attempt-refused", Level::Info, "A target refused a request; it was certainly not run there." };
inline constexpr Event attemptBroken { 4003, "attempt-broken", Level::Warning, "An attempt broke off or its answer could not be used." };
inline constexpr Event attemptRetried { 4004, "attempt-retried", Level::Info, "A request is tried again, for the reason given." };
inline constexpr Event attemptResolved { 4005, "attempt-resolved", Level::Info, "An agent was asked what became of an attempt whose stream broke." };
inline constexpr Event requestFailed { 4006, "request-failed", Level::Info, "A caller got an error; its outcome tells whether the request may have run." };
inline constexpr Event requestCut { 4007, "request-cut", Level::Warning, "An answer was closed without its end after a part had gone to the caller." };
inline constexpr Event frameDropped { 4008, "frame-dropped", Level::Warning, "A frame was dropped because it belongs to another attempt or came after the end." };
inline constexpr Event slowReaderCut { 4009, "slow-reader-cut", Level::Warning, "The stream blocked longest was closed because the streams held streamBudgetBytes." };
inline constexpr Event crashRecorded { 4010, "crash-recorded", Level::Warning, "A target's engine crashed while a request ran." };
inline constexpr Event requestQuarantined { 4011, "request-quarantined", Level::Warning, "A request was refused because it crashed two targets." };
inline constexpr Event requestWaiting { 4012, "request-waiting", Level::Info, "A hazard message or a broken answer waits for a free target." };
inline constexpr Event channelReplaced { 4013, "channel-replaced", Level::Warning, "A silent or broken connection to an agent is replaced." };
inline constexpr Event requestHeld { 4014, "request-held", Level::Warning, "A request that ran on two crashed targets was refused until the reports on the crashes are complete." };
inline constexpr Event answerResumed { 4015, "answer-resumed", Level::Warning, "An answer whose stream broke is continued by another target from the token given." };

} // namespace Lavenderloft::Routing
