#pragma once

#include "Base/Clock.h"

#include <string>
#include <unordered_map>

namespace Lavenderloft::Staging {

// Agents that did not answer lately; others take over their duties meanwhile.
class SourceHealth {
public:
    static constexpr std::chrono::seconds avoidance { 3 };

    void noteUnreachable(const std::string& address, Base::TimePoint now) { m_avoidUntil[address] = now + avoidance; }
    void noteReached(const std::string& address) { m_avoidUntil.erase(address); }

    bool isAvoided(const std::string& address, Base::TimePoint now) const
    {
        auto found = m_avoidUntil.find(address);
        return found != m_avoidUntil.end() && now < found->second;
    }

private:
    std::unordered_map<std::string, Base::TimePoint> m_avoidUntil;
};

} // namespace Lavenderloft::Staging
