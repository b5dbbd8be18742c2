#pragma once

#include "Observability/Event.h"

// Events 8000 to 8499: weights of the engine beside an agent.
namespace Lavenderloft::Staging::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event stagingStarted { 8001, "staging-started", Level::Info, "The engine beside this agent does not hold the declared weights; their pieces are being fetched." };
inline constexpr Event pieceRejected { 8002, "piece-rejected", Level::Warning, "A piece does not have the digest of the manifest and is fetched again." };
inline constexpr Event stagingComplete { 8003, "staging-complete", Level::Info, "All pieces lie at the engine and were checked." };
inline constexpr Event loadOrdered { 8004, "load-ordered", Level::Info, "The engine was told to load the pieces that lie there." };
inline constexpr Event weightsLoaded { 8005, "weights-loaded", Level::Info, "The engine holds the declared weights." };
inline constexpr Event engineLost { 8006, "engine-lost", Level::Warning, "The engine beside this agent does not answer." };
inline constexpr Event engineReached { 8007, "engine-reached", Level::Info, "The engine beside this agent answers." };
inline constexpr Event pieceUnavailable { 8008, "piece-unavailable", Level::Info, "A source did not give a piece; another one is asked." };

} // namespace Lavenderloft::Staging::Events
