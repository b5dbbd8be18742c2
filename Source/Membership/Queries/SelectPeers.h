#pragma once

#include "Base/RandomSource.h"
#include "Membership/MemberTable.h"

#include <string>
#include <vector>

namespace Lavenderloft::Membership::Queries {

// Relays of a data centre: the members that exchange with other data centres.
inline constexpr size_t relaysPerDataCentre = 2;

// The relays of a data centre among the members: the first by rendezvous hashing over those that are alive,
// or over all others if none is.
std::vector<Member> selectRelays(const std::vector<Member>&, const std::string& dataCentre);

// Chooses with whom to exchange next.
class SelectPeers {
public:
    SelectPeers(const MemberTable& table, Base::RandomSource& random)
        : m_table(table)
        , m_random(random)
    {
    }

    // Up to `count` random neighbours of the own data centre.
    std::vector<Member> inDataCentre(size_t count) const;

    // One random relay of another data centre if this process is a relay of its own; else none.
    // Relays are chosen by rendezvous hashing over the live members of a data centre.
    std::vector<Member> acrossDataCentres() const;

    // The members of the own data centre at distances 1, 2, 4, 8 ... in the ring of member hashes: each
    // process talks to, and is probed by, a logarithmic number of others. Suspects and recently dead
    // members stay eligible, so that a healed partition is found from either side.
    std::vector<Member> neighbours() const;

    // Whether this process is a relay of its data centre.
    bool isRelay() const;

private:
    std::vector<Member> relaysOf(const std::string& dataCentre) const;

    const MemberTable& m_table;
    Base::RandomSource& m_random;
};

} // namespace Lavenderloft::Membership::Queries
