#pragma once

#include "Observability/Event.h"

namespace Lavenderloft::Staging::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event stagingStarted { 1301, "staging_started", Level::Info, "The engine beside this agent does not hold the declared weights; their pieces are being fetched." };
inline constexpr Event pieceRejected { 1302, "piece_rejected", Level::Warning, "A piece does not have the digest of the manifest and is fetched again." };
inline constexpr Event stagingComplete { 1303, "staging_complete", Level::Info, "All pieces lie at the engine and were checked." };
inline constexpr Event loadOrdered { 1304, "load_ordered", Level::Info, "The engine was told to load the pieces that lie there." };
inline constexpr Event weightsLoaded { 1305, "weights_loaded", Level::Info, "The engine holds the declared weights." };
inline constexpr Event engineLost { 1306, "engine_lost", Level::Warning, "The engine beside this agent does not answer." };
inline constexpr Event engineReached { 1307, "engine_reached", Level::Info, "The engine beside this agent answers." };
inline constexpr Event pieceUnavailable { 1308, "piece_unavailable", Level::Info, "A source did not give a piece; another one is asked." };

} // namespace Lavenderloft::Staging::Events
