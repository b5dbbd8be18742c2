#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Lavenderloft::Bench {

struct FakeAgentOptions {
    // Concurrent requests.
    unsigned limit = 16;
    // Requests that wait for a slot.
    unsigned queueLimit = 64;
    // Processing time of a request; zero sends the response at once.
    std::chrono::microseconds serviceTime { 0 };
    // Relative jitter of the service time. Without it, all slots of a saturated target become free at the same time.
    double serviceTimeJitter = 0;
    uint64_t seed = 1;
    // Number and size of the response's data frames.
    unsigned parts = 1;
    size_t partBytes = 64;
    std::string weightsDigest;
};

// Counters since the agent was constructed.
struct FakeAgentCounts {
    uint64_t permits = 0;
    uint64_t refusals = 0;
    uint64_t runs = 0;
    // Requests that this agent executed more than once, told apart by their X-Sequence header.
    uint64_t doubled = 0;
    std::chrono::steady_clock::time_point lastPermit;
};

// A TargetService server for tests and benchmarks. It grants permits up to a limit, queues further requests by
// priority class and sends responses of a fixed size.
class FakeAgent {
public:
    // Listens on an ephemeral loopback port.
    explicit FakeAgent(FakeAgentOptions);
    ~FakeAgent();

    std::string address() const;
    Membership::TargetLoad load() const;
    FakeAgentCounts counts() const;

    // Number of executions of each request, by its X-Sequence header.
    std::map<std::string, unsigned> runs() const;

    // Whether new requests are refused as in a data centre that is taken out; running requests are completed.
    void setOut(bool);

    // Aborts the streams of the next `count` requests after their body has arrived, before any response.
    void abortNextStreams(unsigned count);

    void setLimit(unsigned);

private:
    struct State;
    struct Server;
    std::shared_ptr<State> m_state;
    std::unique_ptr<Server> m_server;
};

} // namespace Lavenderloft::Bench
