#pragma once

#include "Http/HttpMessage.h"
#include "Standin/LoadSummary.h"

#include <memory>

namespace Lavenderloft::Standin {

struct LoadOptions {
    // Addresses of routers; each request goes to one drawn at random.
    std::vector<Http::Endpoint> routers;
    std::string path = "/";
    unsigned callers = 8;
    unsigned tokens = 32;
    // Bytes added to each prompt.
    size_t promptBytes = 0;
    // Values of X-Organisation, taken in turn by the callers; none if empty.
    std::vector<std::string> organisations;
    // Value of X-Priority; none if empty.
    std::string priority;
    // Time between the end of a request and the next one of the same caller, after an answer and after an error.
    std::chrono::milliseconds pause { 0 };
    std::chrono::milliseconds errorPause { 50 };
    // A response without progress for longer than this is given up.
    std::chrono::milliseconds idleTimeout { 30000 };
    uint64_t seed = 1;
};

// Concurrent callers of a model pool that check every answer. Each caller has one request at a time.
class LoadGenerator {
public:
    explicit LoadGenerator(LoadOptions);
    ~LoadGenerator();

    void start();

    // Starts no more requests and waits for those that run, for at most two idle time-outs.
    LoadSummary finish();

    // What has ended so far.
    LoadSummary summary() const;

private:
    class Caller;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Standin
