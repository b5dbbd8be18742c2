#pragma once

#include "Base/Clock.h"

#include <mutex>
#include <string>
#include <vector>

namespace Lavenderloft::Standin {

// Entry of the platform's VM list.
struct VmEntry {
    std::string name;
    // IP:port of the process's inner port.
    std::string address;
    std::string dataCentre;
    std::string region;
    // "entry" or "target".
    std::string role;
    // "live" or "leaving".
    std::string state = "live";
};

struct VmListVersion {
    Base::TimePoint since {};
    std::vector<VmEntry> entries;
};

// Versions of the list, newest last; the lock guards all other members.
struct VmListState {
    mutable std::mutex lock;
    std::vector<VmListVersion> versions;
    std::chrono::milliseconds lag { 0 };
    bool down = false;
};

} // namespace Lavenderloft::Standin
