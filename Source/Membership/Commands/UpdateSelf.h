#pragma once

#include "Membership/MemberTable.h"

#include <functional>

namespace Lavenderloft::Membership::Commands {

// Changes the record of this process in the view. The version grows, and the record is sent on, when
// anything but the load, the revision and small progress of a transfer changed: those change too often to
// be gossiped. The shared version grows only when the shared part of the record changed.
class UpdateSelf {
public:
    explicit UpdateSelf(MemberTable& table)
        : m_table(table)
    {
    }

    // Enters the record for the first time.
    void insertSelf(const Member&, Base::TimePoint now);

    // Sends the record on although nothing that is worth it changed, such as the revision alone.
    void announce();

    void execute(const std::function<void(Member&)>& change, Base::TimePoint now);

private:
    MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Commands
