#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <mutex>

namespace Lavenderloft::Base {

// A token bucket rate limiter; tokens are bytes or calls. take() may overdraw the bucket, so that a
// request larger than the burst is delayed instead of refused.
class TokenBucket {
public:
    // The rate is in tokens per second, the burst in tokens.
    TokenBucket(double rate, double burst);

    // Takes the tokens and returns how long the caller must wait before using them.
    Duration take(double tokens, TimePoint now);

    // Takes the tokens only if they are available now.
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
