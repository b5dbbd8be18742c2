#pragma once

#include "Observability/Event.h"

namespace Lavenderloft::Proxy::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event requestServed { 1101, "request_served", Level::Info, "A caller got the whole answer of a target." };
inline constexpr Event requestRefused { 1102, "request_refused", Level::Info, "A request was refused before it ran; the caller was told when to come back." };
inline constexpr Event requestDenied { 1103, "request_denied", Level::Info, "The configuration in force does not allow the request." };
inline constexpr Event requestFailed { 1104, "request_failed", Level::Warning, "A request failed after it may have run." };
inline constexpr Event requestAbandoned { 1105, "request_abandoned", Level::Info, "The caller left before the answer was whole; the work at the target was cancelled." };
inline constexpr Event attemptFailed { 1106, "attempt_failed", Level::Info, "A target did not answer a request as it should; says whether the request is sent again." };

} // namespace Lavenderloft::Proxy::Events
