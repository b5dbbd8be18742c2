#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/MemberTable.h"

namespace Lavenderloft::Membership::Commands {

// Counts how often each update was sent, so that the number of transmissions is bounded.
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
                    ++entry.sharedTransmitCount;
                else if (entry.member.version == member.version)
                    ++entry.transmitCount;
            });
        }
    }

private:
    MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Commands
