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
    // Requests at a time, and requests that wait for a slot.
    unsigned limit = 16;
    unsigned queueLimit = 64;
    // Time that a request takes; zero answers at once.
    std::chrono::microseconds serviceTime { 0 };
    // Each request takes up to this share more or less. Equal times would keep the slots of a busy
    // target in step, so that all become free at once.
    double serviceTimeSpread = 0;
    uint64_t seed = 1;
    // The answer's parts.
    unsigned parts = 1;
    size_t partBytes = 64;
    std::string weightsDigest;
};

// What an agent did since its start.
struct FakeAgentCounts {
    uint64_t permits = 0;
    uint64_t refusals = 0;
    uint64_t runs = 0;
    // Requests that ran more than once here, by their X-Sequence header.
    uint64_t doubled = 0;
    std::chrono::steady_clock::time_point lastPermit;
};

// The agent's side of TargetService for tests and benchmarks: grants permits up to a limit, lets
// requests wait in order of their class, and answers with a fixed number of bytes.
class FakeAgent {
public:
    // Listens on a free port of the loopback address.
    explicit FakeAgent(FakeAgentOptions);
    ~FakeAgent();

    std::string address() const;
    Membership::TargetLoad load() const;
    FakeAgentCounts counts() const;

    // Runs of each request by its X-Sequence header.
    std::map<std::string, unsigned> runs() const;

    // Refuses new requests as in a data centre taken out; requests that hold a permit go on.
    void setOut(bool);

    // Number of coming requests whose stream is broken off after their body has arrived, without an answer.
    void abortNextStreams(unsigned count);

    void setLimit(unsigned);

private:
    struct State;
    struct Server;
    std::shared_ptr<State> m_state;
    std::unique_ptr<Server> m_server;
};

} // namespace Lavenderloft::Bench
