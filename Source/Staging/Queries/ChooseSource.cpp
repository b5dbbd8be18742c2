#include "Staging/Queries/ChooseSource.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <map>

namespace Lavenderloft::Staging::Queries {

namespace {

    std::vector<std::string> addressesOf(const std::vector<SourceAgent>& agents, const std::string* region, bool holdersOnly)
    {
        std::vector<std::string> addresses;
        for (auto& agent : agents) {
            if ((!region || agent.region == *region) && (!holdersOnly || agent.holdsVersion))
                addresses.push_back(agent.address);
        }
        return addresses;
    }

    std::string pieceKey(const std::string& version, unsigned piece)
    {
        return version + "/" + std::to_string(piece);
    }

    // Deals the pieces to the agents by rendezvous hash, no agent more than its share: an agent more or less
    // moves few of them.
    std::vector<std::string> dealPieces(std::vector<std::string> addresses, const std::string& ownAddress, const std::string& version, unsigned pieces)
    {
        addresses.push_back(ownAddress);
        // An engine that was replaced may be published twice for a while.
        std::sort(addresses.begin(), addresses.end());
        addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
        auto share = (pieces + addresses.size() - 1) / addresses.size();
        std::map<std::string, size_t> dealt;
        std::vector<std::string> owners;
        for (unsigned piece = 0; piece < pieces; ++piece) {
            auto ranked = Base::rankMembers(pieceKey(version, piece), addresses);
            auto owner = std::find_if(ranked.begin(), ranked.end(), [&](auto& address) { return dealt[address] < share; });
            ++dealt[*owner];
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
        bool holds = entry.layers && entry.layers->version == version;
        agents.push_back({ entry.address.host, settings.regionOf(entry.dataCentre), holds });
    }
    return agents;
}

PieceDuties::PieceDuties(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const std::string& version, unsigned pieces)
    : m_ownAddress(settings.address)
    , m_fleetOwners(dealPieces(addressesOf(others, nullptr, false), settings.address, version, pieces))
    , m_regionOwners(dealPieces(addressesOf(others, &settings.region, false), settings.address, version, pieces))
{
}

PieceDuty PieceDuties::ownDuty(unsigned piece) const
{
    if (m_fleetOwners[piece] == m_ownAddress)
        return PieceDuty::ForFleet;
    return m_regionOwners[piece] == m_ownAddress ? PieceDuty::ForRegion : PieceDuty::None;
}

PieceSource chooseSource(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const PieceDuties& duties, const std::string& version, unsigned piece)
{
    // Engines that have loaded the version are sources at once, those of the region first.
    auto holders = addressesOf(others, &settings.region, true);
    if (holders.empty())
        holders = addressesOf(others, nullptr, true);
    if (!holders.empty()) {
        // Each receiver asks in an order of its own, which spreads the load over the holders.
        return FromAgent { Base::chooseMember(pieceKey(version, piece) + "/" + settings.address, holders) };
    }
    switch (duties.ownDuty(piece)) {
    case PieceDuty::ForFleet:
        return FromOrigin {};
    case PieceDuty::ForRegion:
        return FromAgent { duties.fleetOwner(piece) };
    case PieceDuty::None:
        break;
    }
    return FromAgent { duties.regionOwner(piece) };
}

} // namespace Lavenderloft::Staging::Queries
