#pragma once

#include <cstdint>
#include <vector>

namespace Lavenderloft::Admission {

// Receives evidence on requests that may crash engines.
class CrashObserver {
public:
    virtual ~CrashObserver() = default;

    // The engine restarted while requests with these fingerprints ran.
    virtual void engineCrashed(const std::vector<uint64_t>& fingerprints) = 0;
};

} // namespace Lavenderloft::Admission
