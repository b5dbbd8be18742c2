#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <optional>

namespace Lavenderloft::Staging {

// Limits the rate at which an agent uploads pieces to others. The engine's responses use the same link and must
// not queue behind uploads.
class UploadPacer {
public:
    // Fraction of the link's bandwidth available to uploads.
    static constexpr double linkShare = 0.95;
    // An upload that would have to wait longer is rejected, so that the receiver can use another source.
    static constexpr std::chrono::milliseconds maximumWait { 1500 };

    // A rate of zero means no limit.
    explicit UploadPacer(double linkBitsPerSecond);

    // Reserves bandwidth for the bytes. Returns the delay before they may be sent, or nullopt if it would exceed
    // maximumWait.
    std::optional<Base::Duration> reserve(uint64_t bytes, Base::TimePoint now);

private:
    double m_bytesPerSecond;
    Base::TimePoint m_freeAt {};
};

} // namespace Lavenderloft::Staging
