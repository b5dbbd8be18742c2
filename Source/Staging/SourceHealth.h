#pragma once

#include "Base/Clock.h"

#include <string>
#include <unordered_map>

namespace Lavenderloft::Staging {

// Tracks agents that recently did not respond. Their pieces are assigned to other agents meanwhile.
class SourceHealth {
public:
    static constexpr std::chrono::seconds unreachableBackoff { 3 };

    void recordUnreachable(const std::string& address, Base::TimePoint now) { m_backoffUntil[address] = now + unreachableBackoff; }
    void recordReachable(const std::string& address) { m_backoffUntil.erase(address); }

    bool isInBackoff(const std::string& address, Base::TimePoint now) const
    {
        auto found = m_backoffUntil.find(address);
        return found != m_backoffUntil.end() && now < found->second;
    }

private:
    std::unordered_map<std::string, Base::TimePoint> m_backoffUntil;
};

} // namespace Lavenderloft::Staging
