#pragma once

#include "Base/Result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Process {

enum class SourceErrorKind {
    Unavailable,
    Malformed,
};

using SourceError = Base::Error<SourceErrorKind>;

// An entry of the platform's VM list.
struct ListedVm {
    std::string name;
    std::string address;
    bool leaving = false;
};

// Read access to the configuration service and the VM list of the platform.
class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;

    // Returns a document newer than the given revision, or nothing if none is published within the wait.
    virtual Base::Result<std::optional<std::string>, SourceError> read(uint64_t afterRevision, std::chrono::milliseconds wait) = 0;

    virtual Base::Result<std::vector<ListedVm>, SourceError> listVms() = 0;

    // Cancels pending calls and rejects new ones. Thread-safe.
    virtual void shutDown() = 0;
};

} // namespace Lavenderloft::Process
