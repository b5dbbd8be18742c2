#pragma once

#include "Observability/Event.h"

// Events 3000 to 3499: admission of requests at a target.
namespace Lavenderloft::Admission {

using Observability::Event;
using Observability::Level;

inline constexpr Event limitChanged { 3001, "limit-changed", Level::Info, "The number of requests that the target may run at a time has changed." };
inline constexpr Event requestRefused { 3002, "request-refused", Level::Debug, "A request was refused at the target; it was not run." };
inline constexpr Event engineCrashed { 3003, "engine-crashed", Level::Error, "The engine restarted while requests ran." };
inline constexpr Event keyHomesChanged { 3004, "key-homes-changed", Level::Warning, "The VMs of a service have changed; keys that an earlier home may have run are refused for the resend window." };

} // namespace Lavenderloft::Admission
