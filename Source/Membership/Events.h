#pragma once

#include "Observability/Event.h"

// Events 5500 to 5999: the view of the system's processes.
namespace Lavenderloft::Membership {

using Observability::Event;
using Observability::Level;

inline constexpr Event memberJoined { 5501, "member-joined", Level::Info, "A process was seen for the first time, or with a new incarnation." };
inline constexpr Event memberSuspected { 5502, "member-suspected", Level::Info, "A process did not answer a probe." };
inline constexpr Event memberDied { 5503, "member-died", Level::Warning, "A process stayed silent for the whole suspicion time." };
inline constexpr Event memberLeaving { 5504, "member-leaving", Level::Info, "A process takes on no more work." };
inline constexpr Event suspicionRefuted { 5505, "suspicion-refuted", Level::Warning, "Another process believed this one dead; it announced itself again." };
inline constexpr Event superseded { 5506, "superseded", Level::Error, "A newer process runs under this VM's name; this one takes on no more work." };

} // namespace Lavenderloft::Membership
