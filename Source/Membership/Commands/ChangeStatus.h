#pragma once

#include "Membership/MemberTable.h"

#include <chrono>
#include <string>

namespace Lavenderloft::Membership::Commands {

// Time for which a suspect may refute before it is held dead. Two probe intervals and the spread of
// the suspicion through a data centre take less than half of it.
inline constexpr std::chrono::milliseconds suspicionTime { 4000 };

// Time for which a dead member is remembered, so that late reports do not bring it back.
inline constexpr std::chrono::seconds tombstoneTime { 60 };

// Changes the status of other members by what this process observes itself.
class ChangeStatus {
public:
    explicit ChangeStatus(MemberTable& table)
        : m_table(table)
    {
    }

    // A probe of the member failed.
    void recordFailedProbe(const std::string& vm, Base::TimePoint now);

    // The platform's list says that the VM is leaving.
    void recordLeaving(const std::string& vm, Base::TimePoint now);

    // Turns suspects that have been silent for the suspicion time into dead members and forgets old ones.
    void expire(Base::TimePoint now);

private:
    void raise(const std::string& vm, Status from, Status to, Base::TimePoint now);

    MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Commands
