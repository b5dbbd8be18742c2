#pragma once

#include "Base/Clock.h"

#include <string>
#include <unordered_map>

namespace Lavenderloft::Staging {

// Tracks agents that recently did not respond. Their pieces are assigned to other agents meanwhile.
class SourceHealth {
public:
    static constexpr std::chrono::seconds avoidancePeriod { 3 };

    void recordUnreachable(const std::string& address, Base::TimePoint now) { m_avoidUntil[address] = now + avoidancePeriod; }
    void recordReachable(const std::string& address) { m_avoidUntil.erase(address); }

    bool isAvoided(const std::string& address, Base::TimePoint now) const
    {
        auto found = m_avoidUntil.find(address);
        return found != m_avoidUntil.end() && now < found->second;
    }

private:
    std::unordered_map<std::string, Base::TimePoint> m_avoidUntil;
};

} // namespace Lavenderloft::Staging
