#pragma once

#include "Base/RandomSource.h"
#include "Membership/MemberTable.h"

#include <string>
#include <vector>

namespace Lavenderloft::Membership::Queries {

// Relays are the members of a data centre that exchange gossip with other data centres.
inline constexpr size_t relaysPerDataCentre = 2;

// Selects the relays of a data centre by rendezvous hashing over its alive members, or over all of its members
// if none is alive.
std::vector<Member> selectRelays(const std::vector<Member>&, const std::string& dataCentre);

// Selects the peers of the next gossip exchange.
class SelectPeers {
public:
    SelectPeers(const MemberTable& table, Base::RandomSource& random)
        : m_table(table)
        , m_random(random)
    {
    }

    // Up to `count` random neighbours in the local data centre.
    std::vector<Member> inDataCentre(size_t count) const;

    // One random relay of a random other data centre; empty if this process is not a relay.
    std::vector<Member> acrossDataCentres() const;

    // The members of the local data centre at distances 1, 2, 4, 8, ... on the ring of VM name hashes, so that
    // each process probes and is probed by a logarithmic number of others. Suspect and recently dead members
    // are included, so that both sides detect the end of a partition.
    std::vector<Member> neighbours() const;

    bool isRelay() const;

private:
    std::vector<Member> relaysOf(const std::string& dataCentre) const;

    const MemberTable& m_table;
    Base::RandomSource& m_random;
};

} // namespace Lavenderloft::Membership::Queries
