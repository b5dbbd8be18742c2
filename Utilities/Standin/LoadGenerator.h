#pragma once

#include "Http/HttpMessage.h"
#include "Standin/LoadSummary.h"

#include <memory>

namespace Lavenderloft::Standin {

struct LoadOptions {
    // Router addresses; each request is sent to a random one.
    std::vector<Http::Endpoint> routers;
    std::string path = "/";
    unsigned callers = 8;
    unsigned tokens = 32;
    // Padding of each prompt.
    size_t promptBytes = 0;
    // Values of X-Organisation, assigned to the callers in turn; no header if empty.
    std::vector<std::string> organisations;
    // Value of X-Priority; no header if empty.
    std::string priority;
    // Delay before the next request of a caller, after a successful and after a failed request.
    std::chrono::milliseconds pause { 0 };
    std::chrono::milliseconds errorPause { 50 };
    // A request fails if its response makes no progress for longer than this.
    std::chrono::milliseconds idleTimeout { 30000 };
    uint64_t seed = 1;
};

// Sends requests to a model pool and validates every response. Each caller has one request in flight.
class LoadGenerator {
public:
    explicit LoadGenerator(LoadOptions);
    ~LoadGenerator();

    void start();

    // Starts no more requests and waits for those in flight, for at most twice the idle timeout.
    LoadSummary finish();

    // Results so far.
    LoadSummary summary() const;

private:
    class Caller;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Standin
