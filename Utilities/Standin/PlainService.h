#pragma once

#include "Http/HttpMessage.h"
#include "Standin/PlainServiceState.h"

#include <memory>

namespace Lavenderloft::Standin {

struct PlainServiceOptions {
    Http::Endpoint listen { "127.0.0.1", 0 };
    // Time that each call runs.
    std::chrono::milliseconds delay { 0 };
};

// Stand-in for a plain service. It runs every call it gets and counts the runs by the header
// X-Call-Id or, without one, by the SHA-256 of the body. The answer is
// {"callId","execution","method","target","body"}.
class PlainService {
public:
    // Throws std::runtime_error if the address cannot be bound.
    explicit PlainService(PlainServiceOptions);
    ~PlainService();

    uint16_t port() const;

    void setDelay(std::chrono::milliseconds);

    // Closes the connections of the next calls without running them.
    void dropBeforeRun(int calls);

    // Runs the next calls and closes their connections without an answer.
    void dropAfterRun(int calls);

    // While silent, calls are run and never answered; they are cut off when the silence ends.
    void setSilent(bool);

    uint64_t executionsOf(const std::string& callId) const;
    ExecutionSummary executions() const;

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace Lavenderloft::Standin
