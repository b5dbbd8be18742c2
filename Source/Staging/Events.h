#pragma once

#include "Observability/Event.h"

// Events 8000 to 8499: weights of the engine on an agent's VM.
namespace Lavenderloft::Staging::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event stagingStarted { 8001, "staging-started", Level::Info, "The local engine does not have the declared weights; fetching their pieces." };
inline constexpr Event pieceRejected { 8002, "piece-rejected", Level::Warning, "The digest of a piece does not match the manifest; fetching it again." };
inline constexpr Event stagingComplete { 8003, "staging-complete", Level::Info, "All pieces are stored at the engine and verified." };
inline constexpr Event loadOrdered { 8004, "load-ordered", Level::Info, "Requested the engine to load the stored pieces." };
inline constexpr Event weightsLoaded { 8005, "weights-loaded", Level::Info, "The engine has loaded the declared weights." };
inline constexpr Event engineLost { 8006, "engine-lost", Level::Warning, "The local engine does not respond." };
inline constexpr Event engineReached { 8007, "engine-reached", Level::Info, "The local engine responds." };
inline constexpr Event pieceUnavailable { 8008, "piece-unavailable", Level::Info, "A source did not deliver a piece; trying another one." };
inline constexpr Event manifestDisputed { 8009, "manifest-disputed", Level::Warning, "Sources agree on the bytes of a piece that does not match the manifest; fetching the manifest again." };
inline constexpr Event loadAccepted { 8010, "load-accepted", Level::Info, "The engine has accepted a load request; its count of accepted requests has changed." };
inline constexpr Event loadUnsettled { 8011, "load-unsettled", Level::Warning, "A load request had no response and may still be accepted; no pieces of another version are stored until that is known." };
inline constexpr Event loadVerified { 8012, "load-verified", Level::Info, "The pieces were verified after the engine had accepted a load request late." };
inline constexpr Event loadInDoubt { 8013, "load-in-doubt", Level::Warning, "The engine may have loaded damaged pieces or pieces of another version; it serves nothing until it has loaded them again." };
inline constexpr Event slotsMove { 8014, "slots-move", Level::Info, "Urgent requests wait at a router while the engine is full: the routers are told how many of the slots that they release they may reuse for less urgent requests." };
inline constexpr Event slotsStay { 8015, "slots-stay", Level::Info, "The routers may reuse all slots that they release again." };

} // namespace Lavenderloft::Staging::Events
