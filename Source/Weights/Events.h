#pragma once

#include "Observability/Event.h"

// Events 2000 to 2499: distribution of weights.
namespace Lavenderloft::Weights {

using Observability::Event;
using Observability::Level;

inline constexpr Event transferBegan { 2001, "transfer-began", Level::Info, "The transfer of a wanted manifest started." };
inline constexpr Event transferWithdrawn { 2002, "transfer-withdrawn", Level::Info, "A manifest is no longer wanted; its transfer was stopped and its memory is released." };
inline constexpr Event manifestAccepted { 2003, "manifest-accepted", Level::Info, "A manifest was verified and memory for its chunks was reserved." };
inline constexpr Event transferFailed { 2004, "transfer-failed", Level::Error, "A transfer failed because its manifest is malformed or exceeds the memory budget." };
inline constexpr Event chunkAssigned { 2005, "chunk-assigned", Level::Info, "The download of a chunk from the named source started." };
inline constexpr Event chunkRefused { 2006, "chunk-refused", Level::Warning, "The length or SHA-256 of a received chunk does not match the manifest; the chunk was discarded and its sender is avoided." };
inline constexpr Event downloadStalled { 2007, "download-stalled", Level::Warning, "A download made no progress and was cancelled; its sender is avoided for a time." };
inline constexpr Event downloadFailed { 2008, "download-failed", Level::Info, "A source refused a chunk request or aborted the download; the chunk will be fetched again." };
inline constexpr Event transferComplete { 2009, "transfer-complete", Level::Info, "All chunks of a manifest are held and verified." };
inline constexpr Event transferDelayed { 2010, "transfer-delayed", Level::Warning, "A transfer made no progress within the reporting limit." };

inline constexpr Event manifestRefused { 2011, "manifest-refused", Level::Warning, "A received manifest was rejected." };

} // namespace Lavenderloft::Weights
