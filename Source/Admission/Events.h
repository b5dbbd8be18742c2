#pragma once

#include "Observability/Event.h"

// Events 3000 to 3499: admission of requests at a target.
namespace Lavenderloft::Admission {

using Observability::Event;
using Observability::Level;

inline constexpr Event limitChanged { 3001, "limit-changed", Level::Info, "The maximum number of concurrent requests at the target has changed." };
inline constexpr Event requestRefused { 3002, "request-refused", Level::Debug, "The agent refused a request, which was not run." };
inline constexpr Event engineCrashed { 3003, "engine-crashed", Level::Error, "The engine restarted while requests were running." };
inline constexpr Event keyHomesChanged { 3004, "key-homes-changed", Level::Warning, "The VMs of a service have changed; keys that may have been used at an earlier home are refused for the resend window." };

} // namespace Lavenderloft::Admission
