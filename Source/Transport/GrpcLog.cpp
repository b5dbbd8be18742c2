#include "Transport/GrpcLog.h"

#include "Observability/Log.h"
#include "Transport/Events.h"

#include <grpc/support/log.h>
#include <mutex>

namespace Lavenderloft::Transport {

namespace {

    // gpr_set_log_function takes a plain function pointer, so the state is global.
    struct Receiver {
        std::mutex lock;
        GrpcLog::Sink sink;
    };

    Receiver& receiver()
    {
        // Never destroyed: gRPC threads may still log during process exit.
        static auto* instance = new Receiver;
        return *instance;
    }

    void receive(gpr_log_func_args* arguments)
    {
        auto event = classifyGrpcMessage(arguments->file, arguments->message);
        if (!event)
            return;
        std::lock_guard guard(receiver().lock);
        if (receiver().sink)
            receiver().sink(*event, arguments->message);
    }

    bool contains(const std::string& text, const char* part)
    {
        return text.find(part) != std::string::npos;
    }

} // namespace

GrpcLog::GrpcLog()
    : GrpcLog([](const Observability::Event& event, const std::string& message) {
        Observability::logEvent(event, { { "message", message } });
    })
{
}

GrpcLog::GrpcLog(Sink sink)
{
    {
        std::lock_guard guard(receiver().lock);
        receiver().sink = std::move(sink);
    }
    gpr_set_log_function(receive);
}

GrpcLog::~GrpcLog()
{
    gpr_set_log_function(nullptr);
    std::lock_guard guard(receiver().lock);
    receiver().sink = nullptr;
}

std::optional<Observability::Event> classifyGrpcMessage(const std::string& sourceFile, const std::string& message)
{
    // Certificates contain no addresses by design, and gRPC logs this message for every connection.
    if (contains(message, "No match found for server name"))
        return std::nullopt;
    if (contains(message, "Handshake failed"))
        return handshakeFailed;
    if (contains(message, "Update handshaker factory failed"))
        return certificatesRejected;
    if (contains(sourceFile, "grpc_tls_certificate_provider"))
        return certificatesNotRead;
    // The certificate provider logs the same error itself.
    if (contains(sourceFile, "stat_posix"))
        return std::nullopt;
    return grpcFault;
}

} // namespace Lavenderloft::Transport
