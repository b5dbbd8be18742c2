#pragma once

#include "Http/HttpMessage.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Lavenderloft::Bench {

// A request, the index of the endpoint that receives it, and the group that its result is reported in.
struct PlannedCall {
    Http::HttpRequest request;
    size_t endpoint = 0;
    unsigned group = 0;
};

struct CallResult {
    unsigned group = 0;
    // Offset from the start of the run.
    std::chrono::nanoseconds startedAt {};
    std::chrono::nanoseconds latency {};
    // HTTP status; zero if no complete response was received.
    unsigned status = 0;
    size_t bodyBytes = 0;
    // First bytes of the body, or the transport error, unless the status is 200.
    std::string error;
};

using Plan = std::function<PlannedCall(size_t index)>;

// Sends calls over keep-alive connections, as the platform's load balancer does.
class LoadGenerator {
public:
    explicit LoadGenerator(std::vector<Http::Endpoint>);

    // Closed loop: each connection sends its next call when the previous one is complete.
    std::vector<CallResult> runClosed(size_t connections, std::chrono::milliseconds duration, const Plan&);

    // Open loop: calls start at a fixed rate whether or not earlier ones are complete, so that a stall appears in
    // the latencies. Waits for all responses.
    std::vector<CallResult> runPaced(double callsPerSecond, std::chrono::milliseconds duration, const Plan&);

private:
    std::vector<Http::Endpoint> m_endpoints;
};

// The given percentile, as a fraction of 1, of the latency in milliseconds. Only included calls with a complete
// response of status 200 count; zero if there are none.
double percentile(const std::vector<CallResult>&, double share, const std::function<bool(const CallResult&)>& isIncluded);

} // namespace Lavenderloft::Bench
