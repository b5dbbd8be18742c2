#pragma once

#include "Observability/Event.h"

// Events 7000 to 7499: requests from callers to a router on a platform.
namespace Lavenderloft::Proxy::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event requestServed { 7001, "request-served", Level::Info, "The complete response of a target was sent to the caller." };
inline constexpr Event requestRefused { 7002, "request-refused", Level::Info, "A request was refused before it ran; the response includes Retry-After." };
inline constexpr Event requestDenied { 7003, "request-denied", Level::Info, "The configuration in force does not allow the request." };
inline constexpr Event requestFailed { 7004, "request-failed", Level::Warning, "A request failed after it may have run." };
inline constexpr Event requestAbandoned { 7005, "request-abandoned", Level::Info, "The caller disconnected before the response was complete; the request was cancelled at the target." };
inline constexpr Event attemptFailed { 7006, "attempt-failed", Level::Info, "An attempt at a target failed; the field repeat says whether the request is retried." };

inline constexpr Event targetLeaving { 7007, "target-leaving", Level::Info, "A target said in a response that it leaves; it gets no new requests from this router." };
inline constexpr Event targetHeldBack { 7008, "target-held-back", Level::Info, "A target refused a request and asked this router to wait; it gets no requests until then." };
inline constexpr Event targetLimited { 7012, "target-limited", Level::Info, "A target named another limit in a response: the requests per second that it takes from all routers together; empty if it has none any more." };
inline constexpr Event attemptSilent { 7009, "attempt-silent", Level::Info, "A target has sent nothing for longer than expected; its attempt goes on until another target responds or the deadline passes." };
inline constexpr Event replacementEnded { 7010, "replacement-ended", Level::Info, "The attempt at a second target, made because the first one was silent, has ended; the field result says whether it continues the response." };
inline constexpr Event configurationAge { 7011, "configuration-age", Level::Info, "A configuration that may be outdated does not allow a request: the time up to which all published items were known, and who reported it." };
inline constexpr Event callerConnectionClosed { 7013, "caller-connection-closed", Level::Info, "There are as many connections of callers as the router accepts: the one that had sent no request for longest was closed for a new one, or the new one was refused." };

} // namespace Lavenderloft::Proxy::Events
