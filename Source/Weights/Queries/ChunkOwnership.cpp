#include "Weights/Queries/ChunkOwnership.h"

#include "Base/RendezvousHash.h"
#include "Weights/TransferLimits.h"

#include <algorithm>
#include <map>

namespace Lavenderloft::Weights::Queries {

namespace {

    // Agents of a region ranked for one chunk: the owner and two that may take over.
    constexpr size_t rankedVms = 3;

    using Regions = std::map<std::string, std::vector<std::string>>;

    // The agents of each region that own chunks.
    Regions chooseOwners(const std::string& manifestDigest, const std::vector<Participant>& participants)
    {
        Regions regions;
        for (auto& participant : participants)
            regions[participant.region].push_back(participant.vm);
        for (auto& [region, vms] : regions) {
            vms = Base::rankMembers(manifestDigest, std::move(vms));
            vms.resize(std::min(vms.size(), ownersPerRegion));
        }
        return regions;
    }

    std::vector<std::string> highestRanked(const std::string& key, const std::vector<std::string>& vms)
    {
        std::vector<std::pair<uint64_t, std::string>> weighted;
        weighted.reserve(vms.size());
        for (auto& vm : vms)
            weighted.emplace_back(Base::rendezvousWeight(key, vm), vm);
        auto count = std::min(rankedVms, weighted.size());
        std::partial_sort(weighted.begin(), weighted.begin() + static_cast<ptrdiff_t>(count), weighted.end(), std::greater<>());
        std::vector<std::string> ranked;
        for (size_t i = 0; i < count; ++i)
            ranked.push_back(std::move(weighted[i].second));
        return ranked;
    }

    std::vector<std::string> orderRegions(const std::string& key, const Regions& regions, const std::string& storeRegion)
    {
        std::vector<std::string> names;
        for (auto& [name, vms] : regions)
            names.push_back(name);
        auto chain = Base::rankMembers(key, std::move(names));
        auto store = std::find(chain.begin(), chain.end(), storeRegion);
        if (store != chain.end())
            std::rotate(chain.begin(), store, store + 1);
        return chain;
    }

    ChunkOwnership makeOwnership(const std::string& key, const Regions& regions, const std::string& ownRegion, const std::string& storeRegion)
    {
        ChunkOwnership ownership;
        auto chain = orderRegions(key, regions, storeRegion);
        auto own = std::find(chain.begin(), chain.end(), ownRegion);
        if (own == chain.end())
            return ownership;
        ownership.ranked = highestRanked(key, regions.at(ownRegion));
        ownership.fromOrigin = own == chain.begin();
        for (auto region = std::make_reverse_iterator(own); region != chain.rend(); ++region)
            ownership.upstream.push_back(highestRanked(key, regions.at(*region)));
        // Later regions in the chain serve as sources when the earlier ones are unreachable.
        for (auto region = own + 1; region != chain.end(); ++region)
            ownership.upstream.push_back(highestRanked(key, regions.at(*region)));
        return ownership;
    }

} // namespace

ManifestOwnership assignOwnership(const Manifest& manifest, const std::vector<Participant>& participants, const std::string& ownRegion, const std::string& storeRegion)
{
    auto regions = chooseOwners(manifest.digest, participants);
    ManifestOwnership ownership;
    ownership.manifest = makeOwnership(manifest.digest, regions, ownRegion, storeRegion);
    for (auto& participant : participants) {
        auto& vms = regions.at(participant.region);
        if (std::find(vms.begin(), vms.end(), participant.vm) != vms.end())
            ownership.agents.push_back(participant);
    }
    ownership.chunks.reserve(manifest.chunks.size());
    for (auto& chunk : manifest.chunks)
        ownership.chunks.push_back(makeOwnership(chunk.digest, regions, ownRegion, storeRegion));
    return ownership;
}

ChunkOwnership assignManifestOwnership(const std::string& manifestDigest, const std::vector<Participant>& participants, const std::string& ownRegion, const std::string& storeRegion)
{
    return makeOwnership(manifestDigest, chooseOwners(manifestDigest, participants), ownRegion, storeRegion);
}

} // namespace Lavenderloft::Weights::Queries
