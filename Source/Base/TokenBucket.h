#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <mutex>

namespace Lavenderloft::Base {

// Limits a rate. Tokens are bytes or calls; the bucket may be overdrawn by one request, so that a
// request larger than the burst is delayed and not refused.
class TokenBucket {
public:
    // The rate is in tokens a second, the burst in tokens.
    TokenBucket(double rate, double burst);

    // Takes the tokens and returns how long the caller has to wait before it uses them.
    Duration take(double tokens, TimePoint now);

    // Takes the tokens only if they are there now.
    bool tryTake(double tokens, TimePoint now);

    void setRate(double rate, TimePoint now);

private:
    void refill(TimePoint now);

    std::mutex m_lock;
    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_lastRefill {};
};

} // namespace Lavenderloft::Base
