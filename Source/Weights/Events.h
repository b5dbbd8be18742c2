#pragma once

#include "Observability/Event.h"

// Events 2000 to 2499: distribution of weights.
namespace Lavenderloft::Weights {

using Observability::Event;
using Observability::Level;

inline constexpr Event transferBegan { 2001, "transfer-began", Level::Info, "A manifest is wanted and its transfer began." };
inline constexpr Event transferWithdrawn { 2002, "transfer-withdrawn", Level::Info, "A manifest is no longer wanted; its transfer stopped and its memory was freed." };
inline constexpr Event manifestAccepted { 2003, "manifest-accepted", Level::Info, "A manifest was verified and memory for its chunks was reserved." };
inline constexpr Event transferFailed { 2004, "transfer-failed", Level::Error, "A manifest is malformed or larger than the memory budget." };
inline constexpr Event chunkAssigned { 2005, "chunk-assigned", Level::Info, "A chunk is fetched from the named source." };
inline constexpr Event chunkRefused { 2006, "chunk-refused", Level::Warning, "A chunk had another SHA-256 than expected; its sender is avoided." };
inline constexpr Event downloadStalled { 2007, "download-stalled", Level::Warning, "A source made no progress and is dropped for a time." };
inline constexpr Event downloadFailed { 2008, "download-failed", Level::Info, "A source refused or broke off; the chunk is fetched again." };
inline constexpr Event transferComplete { 2009, "transfer-complete", Level::Info, "Every chunk of a manifest is held and verified." };
inline constexpr Event transferDelayed { 2010, "transfer-delayed", Level::Warning, "A transfer has made no progress for some time." };

inline constexpr Event manifestRefused { 2011, "manifest-refused", Level::Warning, "The bytes of a manifest were not accepted." };

} // namespace Lavenderloft::Weights
