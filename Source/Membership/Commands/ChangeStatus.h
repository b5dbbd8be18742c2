#pragma once

#include "Membership/MemberTable.h"

#include <chrono>
#include <string>

namespace Lavenderloft::Membership::Commands {

// Time after which a suspected member that has not refuted the suspicion is declared dead. Two probe intervals
// and the propagation of the suspicion through a data centre take less than half of it.
inline constexpr std::chrono::milliseconds suspicionTimeout { 4000 };

// Time for which the entry of a dead member is kept, so that delayed reports do not add the member again.
inline constexpr std::chrono::seconds tombstoneRetention { 60 };

// Changes the status of other members according to probes and the platform's VM list.
class ChangeStatus {
public:
    explicit ChangeStatus(MemberTable& table)
        : m_table(table)
    {
    }

    // Marks an alive member as suspect, and a leaving one as dead.
    void recordFailedProbe(const std::string& vm, Base::TimePoint now);

    // Marks a member as leaving that the platform's VM list reports as leaving.
    void recordLeaving(const std::string& vm, Base::TimePoint now);

    // Declares suspected members dead after the suspicion timeout, and removes dead members after the
    // tombstone retention.
    void expire(Base::TimePoint now);

private:
    void transition(const std::string& vm, Status from, Status to, Base::TimePoint now);

    MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Commands
