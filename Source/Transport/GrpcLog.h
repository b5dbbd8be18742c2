#pragma once

#include "Observability/Event.h"

#include <functional>
#include <optional>
#include <string>

namespace Lavenderloft::Transport {

// Writes errors that the gRPC library logs as events, during its lifetime. gRPC has no API that reports connections
// which fail before a call, so its log is the only source of failed handshakes. At most one object may exist at a
// time.
class GrpcLog {
public:
    using Sink = std::function<void(const Observability::Event&, const std::string& message)>;

    // Writes the events to the log of the process.
    GrpcLog();
    explicit GrpcLog(Sink);
    ~GrpcLog();
    GrpcLog(const GrpcLog&) = delete;
    GrpcLog& operator=(const GrpcLog&) = delete;
};

// The event for an error that gRPC logs, or std::nullopt for a message that is redundant.
std::optional<Observability::Event> classifyGrpcMessage(const std::string& sourceFile, const std::string& message);

} // namespace Lavenderloft::Transport
