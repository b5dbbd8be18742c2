#pragma once

#include "Observability/Event.h"

// Events 5000 to 5499: distribution of the desired state.
namespace Lavenderloft::Configuration {

using Observability::Event;
using Observability::Level;

inline constexpr Event documentAccepted { 5001, "document-accepted", Level::Info, "A desired state is in force in this process." };
inline constexpr Event documentRefused { 5002, "document-refused", Level::Error, "A desired state was refused; the last accepted one stays in force." };
inline constexpr Event sourceUnavailable { 5003, "configuration-unavailable", Level::Warning, "The configuration service or the VM list did not respond." };
inline constexpr Event deltaUnusable { 5004, "delta-unusable", Level::Warning, "Applying a document delta from a peer did not produce the announced digest." };
inline constexpr Event synchronised { 5005, "synchronised", Level::Info, "The process queried its peers after a start or a pause and can accept work." };

} // namespace Lavenderloft::Configuration
