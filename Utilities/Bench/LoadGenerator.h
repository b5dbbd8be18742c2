#pragma once

#include "Http/HttpMessage.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Lavenderloft::Bench {

// One call of a caller, and a number by which its results are grouped.
struct PlannedCall {
    Http::HttpRequest request;
    size_t endpoint = 0;
    unsigned group = 0;
};

struct CallResult {
    unsigned group = 0;
    // Since the start of the run.
    std::chrono::nanoseconds startedAt {};
    std::chrono::nanoseconds latency {};
    // Zero when no whole response came.
    unsigned status = 0;
    size_t bodyBytes = 0;
    // Start of an error's body.
    std::string error;
};

using Plan = std::function<PlannedCall(size_t index)>;

// Sends calls over connections that are kept alive, as the platform's balancer does.
class LoadGenerator {
public:
    explicit LoadGenerator(std::vector<Http::Endpoint>);

    // Each connection sends its next call when the last one has been answered.
    std::vector<CallResult> runClosed(size_t connections, std::chrono::milliseconds duration, const Plan&);

    // Calls start at fixed intervals whether or not earlier ones have been answered, so that a stall
    // shows in the latencies. Waits for all answers.
    std::vector<CallResult> runPaced(double callsPerSecond, std::chrono::milliseconds duration, const Plan&);

private:
    std::vector<Http::Endpoint> m_endpoints;
};

// The latency in milliseconds below which the given share of the calls was answered; calls without a
// whole response of status 200 do not count.
double percentile(const std::vector<CallResult>&, double share, const std::function<bool(const CallResult&)>& counts);

} // namespace Lavenderloft::Bench
