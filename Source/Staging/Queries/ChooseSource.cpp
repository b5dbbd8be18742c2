#include "Staging/Queries/ChooseSource.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <map>

namespace Lavenderloft::Staging::Queries {

namespace {

    std::vector<std::string> addressesOf(const std::vector<SourceAgent>& agents, const std::string* region, bool withVersionOnly)
    {
        std::vector<std::string> addresses;
        for (auto& agent : agents) {
            if ((!region || agent.region == *region) && (!withVersionOnly || agent.hasVersion))
                addresses.push_back(agent.address);
        }
        return addresses;
    }

    std::string pieceKey(const std::string& version, unsigned piece)
    {
        return version + "/" + std::to_string(piece);
    }

    // Assigns the pieces to the agents by rendezvous hashing with an equal share as the limit for each agent.
    // Adding or removing an agent reassigns only a few pieces.
    std::vector<std::string> assignPieces(std::vector<std::string> addresses, const std::string& ownAddress, const std::string& version, unsigned pieces)
    {
        addresses.push_back(ownAddress);
        // The address of a replaced engine may temporarily be published twice.
        std::sort(addresses.begin(), addresses.end());
        addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
        auto share = (pieces + addresses.size() - 1) / addresses.size();
        std::map<std::string, size_t> assigned;
        std::vector<std::string> owners;
        for (unsigned piece = 0; piece < pieces; ++piece) {
            auto ranked = Base::rankMembers(pieceKey(version, piece), addresses);
            auto owner = std::find_if(ranked.begin(), ranked.end(), [&](auto& address) { return assigned[address] < share; });
            ++assigned[*owner];
            owners.push_back(*owner);
        }
        return owners;
    }

} // namespace

std::vector<SourceAgent> listSourceAgents(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, uint64_t version)
{
    std::vector<SourceAgent> agents;
    auto targets = snapshot.targetsByService.find(settings.localService);
    if (targets == snapshot.targetsByService.end())
        return agents;
    for (auto& target : targets->second) {
        auto& entry = target->entry;
        if (entry.address.host == settings.address)
            continue;
        bool hasVersion = entry.layers && entry.layers->version == version;
        agents.push_back({ entry.address.host, settings.regionOf(entry.dataCentre), hasVersion });
    }
    return agents;
}

PieceAssignments::PieceAssignments(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const std::string& version, unsigned pieces)
    : m_ownAddress(settings.address)
    , m_fleetOwners(assignPieces(addressesOf(others, nullptr, false), settings.address, version, pieces))
    , m_regionOwners(assignPieces(addressesOf(others, &settings.region, false), settings.address, version, pieces))
{
}

PieceAssignment PieceAssignments::ownAssignment(unsigned piece) const
{
    if (m_fleetOwners[piece] == m_ownAddress)
        return PieceAssignment::ForFleet;
    return m_regionOwners[piece] == m_ownAddress ? PieceAssignment::ForRegion : PieceAssignment::None;
}

PieceSource chooseSource(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const PieceAssignments& assignments, const std::string& version, unsigned piece)
{
    // Prefers agents whose engine has loaded the version, those of the own region first.
    auto sources = addressesOf(others, &settings.region, true);
    if (sources.empty())
        sources = addressesOf(others, nullptr, true);
    if (!sources.empty()) {
        // The own address in the key makes each receiver choose differently, which spreads the load.
        return FromAgent { Base::chooseMember(pieceKey(version, piece) + "/" + settings.address, sources) };
    }
    switch (assignments.ownAssignment(piece)) {
    case PieceAssignment::ForFleet:
        return FromOrigin {};
    case PieceAssignment::ForRegion:
        return FromAgent { assignments.fleetOwner(piece) };
    case PieceAssignment::None:
        break;
    }
    return FromAgent { assignments.regionOwner(piece) };
}

} // namespace Lavenderloft::Staging::Queries
