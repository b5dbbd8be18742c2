#pragma once

#include "Membership/MemberTable.h"

#include <functional>

namespace Lavenderloft::Membership::Commands {

// Updates this process's own record. The version is incremented, and the record gossiped, if any field other
// than the load counters, the revision or the progress of a transfer below one step changed; these change too
// often to be gossiped. The shared version is incremented only if the shared part of the record changed.
class UpdateSelf {
public:
    explicit UpdateSelf(MemberTable& table)
        : m_table(table)
    {
    }

    // Adds this process's own record to the view.
    void insertSelf(const Member&, Base::TimePoint now);

    // Increments the version without a change that requires it, for instance after a change of the revision only.
    void announce();

    void execute(const std::function<void(Member&)>& change, Base::TimePoint now);

private:
    MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Commands
