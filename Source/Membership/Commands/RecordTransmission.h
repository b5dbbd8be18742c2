#pragma once

#include "Membership/MemberTable.h"

#include <vector>

namespace Lavenderloft::Membership::Commands {

// Counts that the updates were sent once more, so that each is sent a bounded number of times.
class RecordTransmission {
public:
    explicit RecordTransmission(MemberTable& table)
        : m_table(table)
    {
    }

    void execute(const std::vector<Member>& sent)
    {
        for (auto& member : sent) {
            m_table.entries().withShard(member.vm, [&](auto& entries) {
                auto found = entries.find(member.vm);
                if (found != entries.end() && found->second.member.version == member.version)
                    ++found->second.timesSent;
            });
        }
    }

private:
    MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Commands
