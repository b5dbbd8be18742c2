#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/MemberTable.h"

namespace Lavenderloft::Membership::Commands {

// Counts that the updates were sent once more, so that each is sent a bounded number of times.
class RecordTransmission {
public:
    explicit RecordTransmission(MemberTable& table)
        : m_table(table)
    {
    }

    void execute(const GossipMessage& sent)
    {
        for (auto& member : sent.members) {
            m_table.entries().withShard(member.vm, [&](auto& entries) {
                auto found = entries.find(member.vm);
                if (found == entries.end() || found->second.member.sharedVersion != member.sharedVersion)
                    return;
                auto& entry = found->second;
                if (sent.isShared)
                    ++entry.timesSentAcross;
                else if (entry.member.version == member.version)
                    ++entry.timesSent;
            });
        }
    }

private:
    MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Commands
