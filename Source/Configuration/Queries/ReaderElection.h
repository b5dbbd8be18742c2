#pragma once

#include "Membership/Member.h"

#include <string>
#include <vector>

namespace Lavenderloft::Configuration::Queries {

// Members of each data centre that watch the configuration service. The second one delivers changes while a failure
// of the first has not been detected yet.
inline constexpr size_t readersPerDataCentre = 2;

// Elects the readers of the configuration service by rendezvous hashing. All processes with the same view of a data
// centre elect the same readers; if a reader fails, the next member in rank replaces it.
class ReaderElection {
public:
    explicit ReaderElection(const std::vector<Membership::Member>& members)
        : m_members(members)
    {
    }

    // VM names of the readers of a data centre, in the order of their rank.
    std::vector<std::string> readersOf(const std::string& dataCentre) const;

    bool isReader(const std::string& vm, const std::string& dataCentre) const;

    size_t candidateCount(const std::string& dataCentre) const { return candidatesOf(dataCentre).size(); }

private:
    std::vector<std::string> candidatesOf(const std::string& dataCentre) const;

    const std::vector<Membership::Member>& m_members;
};

} // namespace Lavenderloft::Configuration::Queries
