#pragma once

#include "Observability/Event.h"

// Events 5500 to 5999: membership of the fleet.
namespace Lavenderloft::Membership {

using Observability::Event;
using Observability::Level;

inline constexpr Event memberJoined { 5501, "member-joined", Level::Info, "A process was discovered, or restarted with a new incarnation." };
inline constexpr Event memberSuspected { 5502, "member-suspected", Level::Info, "A process did not respond to a probe." };
inline constexpr Event memberDied { 5503, "member-died", Level::Warning, "A suspected process did not refute the suspicion within the suspicion timeout." };
inline constexpr Event memberLeaving { 5504, "member-leaving", Level::Info, "A process no longer accepts new work." };
inline constexpr Event suspicionRefuted { 5505, "suspicion-refuted", Level::Warning, "Another process reported this one as suspect or dead; it announced itself with a higher version." };
inline constexpr Event superseded { 5506, "superseded", Level::Error, "A process with a higher incarnation uses this VM's name; this process no longer accepts new work." };

} // namespace Lavenderloft::Membership
