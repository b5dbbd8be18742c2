#pragma once

#include "Http/HttpMessage.h"

#include <chrono>
#include <memory>

namespace Lavenderloft::Bench {

struct SlowReaderCounts {
    unsigned connected = 0;
    // Responses that ended without the last chunk of the chunked encoding.
    unsigned truncated = 0;
    // Responses that ended with the last chunk.
    unsigned complete = 0;
    uint64_t bytesRead = 0;
};

// Clients that request a long response and read it slowly.
class SlowReaders {
public:
    // Each client reads at most `bytesPerRead` bytes per `interval`.
    SlowReaders(const Http::Endpoint&, const std::string& path, unsigned count, size_t bytesPerRead, std::chrono::milliseconds interval);
    ~SlowReaders();

    // Reads at full speed until every response has ended or the time limit is reached.
    SlowReaderCounts drain(std::chrono::seconds limit);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Bench
