#include "Staging/Queries/ChooseSource.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

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

    // The agent with the duty for the piece, this one included.
    std::string ownerAmong(std::vector<std::string> addresses, const Fleet::NodeSettings& settings, const std::string& version, unsigned piece)
    {
        addresses.push_back(settings.address);
        return Base::chooseMember(pieceKey(version, piece), addresses);
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

std::vector<PieceDuty> dutiesFor(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const std::string& version, unsigned pieces)
{
    auto everywhere = addressesOf(others, nullptr, false);
    auto inRegion = addressesOf(others, &settings.region, false);
    std::vector<PieceDuty> duties(pieces, PieceDuty::None);
    for (unsigned piece = 0; piece < pieces; ++piece) {
        if (ownerAmong(everywhere, settings, version, piece) == settings.address)
            duties[piece] = PieceDuty::ForFleet;
        else if (ownerAmong(inRegion, settings, version, piece) == settings.address)
            duties[piece] = PieceDuty::ForRegion;
    }
    return duties;
}

PieceSource chooseSource(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const std::string& version, unsigned piece, unsigned attempt)
{
    // Engines that have loaded the version are sources at once, those of the region first.
    auto holders = addressesOf(others, &settings.region, true);
    if (holders.empty())
        holders = addressesOf(others, nullptr, true);
    if (!holders.empty()) {
        // Each receiver has an order of its own, which spreads the load over the holders.
        auto ranked = Base::rankMembers(pieceKey(version, piece) + "/" + settings.address, holders);
        return FromAgent { ranked[attempt % ranked.size()] };
    }
    auto fleetOwner = ownerAmong(addressesOf(others, nullptr, false), settings, version, piece);
    if (fleetOwner == settings.address)
        return FromOrigin {};
    auto regionOwner = ownerAmong(addressesOf(others, &settings.region, false), settings, version, piece);
    return FromAgent { regionOwner == settings.address ? fleetOwner : regionOwner };
}

} // namespace Lavenderloft::Staging::Queries
