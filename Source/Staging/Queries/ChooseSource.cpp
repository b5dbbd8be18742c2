#include "Staging/Queries/ChooseSource.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace Lavenderloft::Staging::Queries {

namespace {

    // Attempts at the agent that should have the piece before others are asked.
    constexpr unsigned attemptsAtOwner = 4;
    constexpr unsigned originInterval = 3;

    std::vector<std::string> addressesOf(const std::vector<SourceAgent>& agents, const std::string* region, bool holdersOnly)
    {
        std::vector<std::string> addresses;
        for (auto& agent : agents) {
            if ((!region || agent.region == *region) && (!holdersOnly || agent.holdsVersion))
                addresses.push_back(agent.address);
        }
        return addresses;
    }

    PieceSource fromOwner(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const std::string& key)
    {
        auto inRegion = addressesOf(others, &settings.region, false);
        inRegion.push_back(settings.address);
        auto regionOwner = Base::chooseMember(key, inRegion);
        if (regionOwner != settings.address)
            return FromAgent { regionOwner };
        auto everywhere = addressesOf(others, nullptr, false);
        everywhere.push_back(settings.address);
        auto fleetOwner = Base::chooseMember(key, everywhere);
        if (fleetOwner != settings.address)
            return FromAgent { fleetOwner };
        return FromOrigin {};
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

PieceSource chooseSource(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const std::string& version, unsigned piece, unsigned attempt)
{
    auto key = version + "/" + std::to_string(piece);
    // Engines that have loaded the version are sources at once, those of the region first.
    auto holders = addressesOf(others, &settings.region, true);
    if (holders.empty())
        holders = addressesOf(others, nullptr, true);
    if (holders.empty() && attempt < attemptsAtOwner)
        return fromOwner(others, settings, key);
    if (attempt >= attemptsAtOwner && attempt % originInterval == 0)
        return FromOrigin {};
    if (holders.empty())
        holders = addressesOf(others, nullptr, false);
    if (holders.empty())
        return FromOrigin {};
    // Each receiver has an order of its own, which spreads the load over the holders.
    auto ranked = Base::rankMembers(key + "/" + settings.address, holders);
    return FromAgent { ranked[attempt % ranked.size()] };
}

} // namespace Lavenderloft::Staging::Queries
