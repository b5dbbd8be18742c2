#pragma once

#include "Http/HttpMessage.h"

#include <chrono>
#include <memory>

namespace Lavenderloft::Bench {

struct SlowReaderCounts {
    unsigned connected = 0;
    // Answers that ended without the final chunk, and with it.
    unsigned cut = 0;
    unsigned whole = 0;
    uint64_t bytesRead = 0;
};

// Callers that ask for a long answer and read it slowly.
class SlowReaders {
public:
    // Each reader takes `bytesPerRead` every `interval`.
    SlowReaders(const Http::Endpoint&, const std::string& path, unsigned count, size_t bytesPerRead, std::chrono::milliseconds interval);
    ~SlowReaders();

    // Reads on at full speed until every answer has ended, at most for the time given.
    SlowReaderCounts finish(std::chrono::seconds limit);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Bench
