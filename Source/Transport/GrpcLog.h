#pragma once

#include "Observability/Event.h"

#include <functional>
#include <optional>
#include <string>

namespace Lavenderloft::Transport {

// Turns the errors that the gRPC library prints into events, as long as the object lives. It is the only way
// to learn of a refused handshake, since gRPC tells its users nothing of connections that fail before a call.
// One object at a time.
class GrpcLog {
public:
    using Sink = std::function<void(const Observability::Event&, const std::string& message)>;

    // Writes the events to the process's log.
    GrpcLog();
    explicit GrpcLog(Sink);
    ~GrpcLog();
    GrpcLog(const GrpcLog&) = delete;
    GrpcLog& operator=(const GrpcLog&) = delete;
};

// The event for an error that gRPC prints; none if it tells nothing new.
std::optional<Observability::Event> classifyGrpcMessage(const std::string& sourceFile, const std::string& message);

} // namespace Lavenderloft::Transport
