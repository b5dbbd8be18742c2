#include "Configuration/Queries/ReaderElection.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace Lavenderloft::Configuration::Queries {

namespace {

    constexpr std::string_view electionKey = "configuration-readers";

} // namespace

std::vector<std::string> ReaderElection::readersOf(const std::string& dataCentre) const
{
    auto ranked = Base::rankMembers(electionKey, candidatesOf(dataCentre));
    ranked.resize(std::min(ranked.size(), readersPerDataCentre));
    return ranked;
}

bool ReaderElection::isReader(const std::string& vm, const std::string& dataCentre) const
{
    auto readers = readersOf(dataCentre);
    return std::find(readers.begin(), readers.end(), vm) != readers.end();
}

// Suspect and leaving members are excluded, so that their successor starts reading before they stop. An additional
// reader costs only one call in ten seconds.
std::vector<std::string> ReaderElection::candidatesOf(const std::string& dataCentre) const
{
    std::vector<std::string> names;
    for (auto& member : m_members) {
        if (member.dataCentre == dataCentre && member.status == Membership::Status::Alive)
            names.push_back(member.vm);
    }
    return names;
}

} // namespace Lavenderloft::Configuration::Queries
