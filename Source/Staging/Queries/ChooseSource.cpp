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

    // The agent among the others and this one that has the duty for the piece. Pieces are dealt in turn, so
    // that no agent has many more than another.
    std::string ownerAmong(std::vector<std::string> addresses, const Fleet::NodeSettings& settings, const std::string& version, unsigned piece)
    {
        addresses.push_back(settings.address);
        auto ranked = Base::rankMembers(version, std::move(addresses));
        return ranked[piece % ranked.size()];
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

PieceDuty dutyFor(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const std::string& version, unsigned piece)
{
    if (ownerAmong(addressesOf(others, nullptr, false), settings, version, piece) == settings.address)
        return PieceDuty::ForFleet;
    if (ownerAmong(addressesOf(others, &settings.region, false), settings, version, piece) == settings.address)
        return PieceDuty::ForRegion;
    return PieceDuty::None;
}

PieceSource chooseSource(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, const std::string& version, unsigned piece, unsigned attempt)
{
    // Engines that have loaded the version are sources at once, those of the region first.
    auto holders = addressesOf(others, &settings.region, true);
    if (holders.empty())
        holders = addressesOf(others, nullptr, true);
    if (!holders.empty()) {
        // Each receiver has an order of its own, which spreads the load over the holders.
        auto ranked = Base::rankMembers(version + "/" + std::to_string(piece) + "/" + settings.address, holders);
        return FromAgent { ranked[attempt % ranked.size()] };
    }
    switch (dutyFor(others, settings, version, piece)) {
    case PieceDuty::ForFleet:
        return FromOrigin {};
    case PieceDuty::ForRegion:
        return FromAgent { ownerAmong(addressesOf(others, nullptr, false), settings, version, piece) };
    case PieceDuty::None:
        break;
    }
    return FromAgent { ownerAmong(addressesOf(others, &settings.region, false), settings, version, piece) };
}

} // namespace Lavenderloft::Staging::Queries
