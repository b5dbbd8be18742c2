#pragma once

#include "Observability/Event.h"

// Events 7000 to 7499: requests of callers on a node of a platform.
namespace Lavenderloft::Proxy::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event requestServed { 7001, "request-served", Level::Info, "A caller got the whole answer of a target." };
inline constexpr Event requestRefused { 7002, "request-refused", Level::Info, "A request was refused before it ran; the caller was told when to come back." };
inline constexpr Event requestDenied { 7003, "request-denied", Level::Info, "The configuration in force does not allow the request." };
inline constexpr Event requestFailed { 7004, "request-failed", Level::Warning, "A request failed after it may have run." };
inline constexpr Event requestAbandoned { 7005, "request-abandoned", Level::Info, "The caller left before the answer was whole; the work at the target was cancelled." };
inline constexpr Event attemptFailed { 7006, "attempt-failed", Level::Info, "A target did not answer a request as it should; says whether the request is sent again." };

} // namespace Lavenderloft::Proxy::Events
