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

// An entry of the platform's list of VMs.
struct ListedVm {
    std::string name;
    std::string address;
    bool leaving = false;
};

// The platform's services that can be read.
class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;

    // The document after the given revision, empty if there is none within the wait.
    virtual Base::Result<std::optional<std::string>, SourceError> read(uint64_t afterRevision, std::chrono::milliseconds wait) = 0;

    virtual Base::Result<std::vector<ListedVm>, SourceError> listVms() = 0;

    // Ends pending calls and refuses new ones; from any thread.
    virtual void shutDown() = 0;
};

} // namespace Lavenderloft::Process
