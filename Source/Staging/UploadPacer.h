#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <optional>

namespace Lavenderloft::Staging {

// Spreads the pieces that an agent gives to others over time. The engine's answers leave over the same link
// and must not queue behind them.
class UploadPacer {
public:
    // Part of the link that uploads may use.
    static constexpr double linkShare = 0.95;
    // An upload that would have to wait for longer is refused, so that the receiver can ask elsewhere.
    static constexpr std::chrono::milliseconds longestWait { 1500 };

    // A rate of zero means that the link is not limited.
    explicit UploadPacer(double linkBitsPerSecond);

    // Time until the bytes may be sent; nothing if that is too long.
    std::optional<Base::Duration> reserve(uint64_t bytes, Base::TimePoint now);

private:
    double m_bytesPerSecond;
    Base::TimePoint m_freeAt {};
};

} // namespace Lavenderloft::Staging
