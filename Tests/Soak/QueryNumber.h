#pragma once

#include <cstdint>
#include <string>

namespace Lavenderloft::Soak {

// Returns the number that follows a name in a query; 0 if there is none.
inline uint64_t numberIn(const std::string& target, const std::string& name)
{
    auto start = target.find(name + "=");
    return start == std::string::npos ? 0 : std::stoull(target.substr(start + name.size() + 1));
}

} // namespace Lavenderloft::Soak
