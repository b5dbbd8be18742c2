#pragma once

#include "Observability/Event.h"

// Events 6000 to 6499: connections between the system's processes.
namespace Lavenderloft::Transport {

using Observability::Event;
using Observability::Level;

inline constexpr Event handshakeFailed { 6001, "handshake-failed", Level::Warning, "The TLS handshake of an incoming or outgoing connection between processes failed." };
inline constexpr Event certificatesNotRead { 6002, "certificates-not-read", Level::Warning, "Certificate files could not be reloaded; the last valid ones remain in use." };
inline constexpr Event certificatesRejected { 6004, "certificates-rejected", Level::Error, "The current certificate files are inconsistent with each other; new connections fail until they are replaced." };
inline constexpr Event grpcFault { 6003, "grpc-fault", Level::Warning, "The gRPC library reported another error." };

} // namespace Lavenderloft::Transport
