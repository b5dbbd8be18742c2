#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace Lavenderloft::Weights {

// The destination of an upload.
struct Receiver {
    std::string vm;
    std::string region;
};

// Limits the rate of uploads. Thread-safe.
class LinkLimiter {
public:
    virtual ~LinkLimiter() = default;

    // Time until an upload to the region may start; zero if it may start now.
    virtual Base::Duration startDelay(const std::string& region, Base::TimePoint) const = 0;

    // Accounts for all bytes of an upload that starts now.
    virtual void accountUpload(const std::string& region, uint64_t bytes, Base::TimePoint) = 0;

    // Accounts for one part of an upload and returns how long to wait before it is sent.
    virtual Base::Duration partDelay(const Receiver&, uint64_t bytes, Base::TimePoint) = 0;
};

} // namespace Lavenderloft::Weights
