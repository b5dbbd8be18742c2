#pragma once

#include "Observability/Event.h"

// Events 4000 to 4999: routing and streaming.
namespace Lavenderloft::Routing {

using Observability::Event;
using Observability::Level;

inline constexpr Event AttemptRouted { 4001, "attempt-routed", Level::Info, "A request was routed to a target, for the reason given." };
inline constexpr Event AttemptRefused { 4002, "attempt-refused", Level::Info, "A target refused a request; it was certainly not run there." };
inline constexpr Event AttemptBroken { 4003, "attempt-broken", Level::Warning, "An attempt broke off or its answer could not be used." };
inline constexpr Event AttemptRetried { 4004, "attempt-retried", Level::Info, "A request is tried again, for the reason given." };
inline constexpr Event AttemptResolved { 4005, "attempt-resolved", Level::Info, "An agent was asked what became of an attempt whose stream broke." };
inline constexpr Event RequestFailed { 4006, "request-failed", Level::Info, "A caller got an error; its outcome tells whether the request may have run." };
inline constexpr Event RequestCut { 4007, "request-cut", Level::Warning, "An answer was closed without its end after a part had gone to the caller." };
inline constexpr Event FrameDropped { 4008, "frame-dropped", Level::Warning, "A frame was dropped because it belongs to another attempt or came after the end." };
inline constexpr Event SlowReaderCut { 4009, "slow-reader-cut", Level::Warning, "The stream blocked longest was closed because the streams held streamBudgetBytes." };
inline constexpr Event CrashRecorded { 4010, "crash-recorded", Level::Warning, "A target's engine crashed while a request ran." };
inline constexpr Event RequestQuarantined { 4011, "request-quarantined", Level::Warning, "A request was refused because it crashed two targets." };
inline constexpr Event RequestWaiting { 4012, "request-waiting", Level::Info, "A hazard message waits for a free target." };
inline constexpr Event ChannelReplaced { 4013, "channel-replaced", Level::Warning, "A silent or broken connection to an agent is replaced." };

} // namespace Lavenderloft::Routing
