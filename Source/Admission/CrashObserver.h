#pragma once

#include <cstdint>
#include <vector>

namespace Lavenderloft::Admission {

// Notified of engine crashes.
class CrashObserver {
public:
    virtual ~CrashObserver() = default;

    // The engine restarted while requests with these fingerprints were running.
    virtual void engineCrashed(const std::vector<uint64_t>& fingerprints) = 0;
};

} // namespace Lavenderloft::Admission
