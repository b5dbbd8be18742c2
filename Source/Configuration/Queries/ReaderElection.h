#pragma once

#include "Membership/Member.h"

#include <string>
#include <vector>

namespace Lavenderloft::Configuration::Queries {

// Members of each data centre that keep a watch at the configuration service. The second one keeps
// changes flowing while the first is dead and not yet known to be.
inline constexpr size_t readersPerDataCentre = 2;

// Decides who reads the configuration service. All processes with the same view of a data centre decide
// alike; when a reader dies, the next in hash order takes its place.
class ReaderElection {
public:
    explicit ReaderElection(const std::vector<Membership::Member>& members)
        : m_members(members)
    {
    }

    // Names of the readers of a data centre, the first in rank first.
    std::vector<std::string> readersOf(const std::string& dataCentre) const;

    bool isReader(const std::string& vm, const std::string& dataCentre) const;

    // Number of members that may become readers of a data centre.
    size_t candidateCount(const std::string& dataCentre) const { return candidatesOf(dataCentre).size(); }

private:
    std::vector<std::string> candidatesOf(const std::string& dataCentre) const;

    const std::vector<Membership::Member>& m_members;
};

} // namespace Lavenderloft::Configuration::Queries
