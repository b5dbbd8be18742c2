#pragma once

#include "Http/HttpMessage.h"
#include "Standin/PlainServiceState.h"

#include <memory>

namespace Lavenderloft::Standin {

struct PlainServiceOptions {
    Http::Endpoint listen { "127.0.0.1", 0 };
    // Execution time of each call.
    std::chrono::milliseconds delay { 0 };
};

// Stand-in for a plain service. It executes every call that it receives and counts the executions by the header
// X-Call-Id or, without one, by the SHA-256 of the body. The response is
// {"callId","execution","method","target","body"}.
class PlainService {
public:
    // Throws std::runtime_error if the address cannot be bound.
    explicit PlainService(PlainServiceOptions);
    ~PlainService();

    uint16_t port() const;

    void setDelay(std::chrono::milliseconds);

    // Aborts the connections of the next calls without executing them.
    void dropBeforeRun(int calls);

    // Executes the next calls and aborts their connections without a response.
    void dropAfterRun(int calls);

    // While silent, calls are executed and get no response; they are aborted when this is switched off.
    void setSilent(bool);

    uint64_t executionsOf(const std::string& callId) const;
    ExecutionSummary executions() const;

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace Lavenderloft::Standin
