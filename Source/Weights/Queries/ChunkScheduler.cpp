#include "Weights/Queries/ChunkScheduler.h"

#include "Weights/TransferLimits.h"

#include <algorithm>
#include <optional>
#include <set>

namespace Lavenderloft::Weights::Queries {

namespace {

    // A chunk that at least one peer of the region holds.
    struct LocalCandidate {
        unsigned chunk = 0;
        size_t holders = 0;
        uint64_t tieBreak = 0;
    };

    // A peer of the region from which chunks can be requested.
    struct LocalSource {
        const PeerView* peer = nullptr;
        // Includes downloads assigned in this round.
        const unsigned* downloads = nullptr;
        bool isOutsideDataCentre = false;
    };

    // Whether this agent is to fetch a chunk into its region, and why.
    struct Responsibility {
        bool responsible = false;
        AssignmentReason reason = AssignmentReason::FirstInRank;
    };

    bool isAssignedTo(const PeerView& peer, unsigned chunk)
    {
        if (!peer.progress.holdings)
            return false;
        auto& assigned = peer.progress.holdings->assigned;
        return std::find(assigned.begin(), assigned.end(), chunk) != assigned.end();
    }

    // A peer that ranks higher than this agent keeps the chunk while it responds and makes progress.
    bool retainsOwnership(const ScheduleInput& input, const std::string& vm, unsigned chunk)
    {
        auto peer = input.peers.find(vm);
        if (peer == input.peers.end() || peer->second.inBackoff)
            return false;
        auto& progress = peer->second.progress;
        // A peer that has not been polled yet keeps the chunk; its deadline starts with the first request.
        if (progress.requestedAt == Base::TimePoint {})
            return true;
        return input.now - progress.progressAt < (isAssignedTo(peer->second, chunk) ? assignedTakeOverDeadline : takeOverDeadline);
    }

    Responsibility findResponsibility(const ScheduleInput& input, unsigned chunk)
    {
        Responsibility result;
        for (auto& vm : input.ownership.chunks[chunk].ranked) {
            if (vm == input.self.vm) {
                result.responsible = true;
                return result;
            }
            if (retainsOwnership(input, vm, chunk))
                return result;
            result.reason = AssignmentReason::TakenOver;
        }
        return result;
    }

    bool isLocal(const ScheduleInput& input, const PeerView& peer)
    {
        return peer.participant->region == input.self.region;
    }

    // Chunks that other agents of the region report to be fetching from the origin or another region.
    std::set<unsigned> chunksAssignedElsewhere(const ScheduleInput& input)
    {
        std::set<unsigned> chunks;
        for (auto& [vm, peer] : input.peers) {
            if (!peer.inBackoff && peer.progress.holdings && isLocal(input, peer) && input.now - peer.progress.progressAt < assignedTakeOverDeadline)
                chunks.insert(peer.progress.holdings->assigned.begin(), peer.progress.holdings->assigned.end());
        }
        return chunks;
    }

    unsigned originDownloadLimit(const ScheduleInput& input)
    {
        size_t agents = 1 + std::count_if(input.peers.begin(), input.peers.end(), [&](auto& entry) { return entry.first != input.self.vm && isLocal(input, entry.second); });
        auto owners = static_cast<unsigned>(std::min(agents, ownersPerRegion));
        return std::clamp<unsigned>(originDownloadsPerRegion / owners, 1, maximumExternalDownloads);
    }

    // With many peers, one download from each spreads the load; with few, a second one hides the gap between two chunks.
    unsigned downloadsPerPeer(const ScheduleInput& input)
    {
        auto localPeers = std::count_if(input.peers.begin(), input.peers.end(), [&](auto& entry) { return isLocal(input, entry.second); });
        return localPeers >= maximumDownloads ? 1 : maximumDownloadsPerPeer;
    }

    bool isNeeded(const ScheduleInput& input, unsigned chunk)
    {
        return !input.held[chunk] && !input.inFlight.contains(input.manifest.chunks[chunk].digest);
    }

    // The number of peers of the region that hold each chunk. Counted for all chunks at once, because comparing region
    // names for each chunk took most of the CPU time of a round.
    std::vector<unsigned> countLocalHolders(const ScheduleInput& input)
    {
        std::vector<unsigned> holders(input.manifest.chunks.size(), 0);
        for (auto& [vm, peer] : input.peers) {
            if (peer.inBackoff || !peer.progress.holdings || !isLocal(input, peer))
                continue;
            auto& held = peer.progress.holdings->held;
            for (size_t chunk = 0; chunk < std::min(held.size(), holders.size()); ++chunk)
                holders[chunk] += held[chunk] ? 1 : 0;
        }
        return holders;
    }

    // Assigns chunks in one scheduling round; the assignments count against the limits.
    class SchedulingRound {
    public:
        SchedulingRound(const ScheduleInput& input, Base::RandomSource& random)
            : m_input(input)
            , m_random(random)
            , m_activeDownloads(input.counts.fromPeers + input.counts.external)
            , m_externalDownloads(input.counts.external)
            , m_originLimit(originDownloadLimit(input))
            , m_downloadsPerPeer(downloadsPerPeer(input))
        {
            for (auto& [vm, peer] : input.peers) {
                m_downloads[vm] = peer.activeDownloads;
                if (isLocal(input, peer) && !peer.inBackoff && !peer.busy && peer.progress.holdings)
                    m_localSources.push_back({ &peer, &m_downloads[vm], peer.participant->dataCentre != input.self.dataCentre });
            }
        }

        std::vector<ChunkAssignment> run()
        {
            collect();
            assignExternal();
            assignLocal();
            return std::move(m_assignments);
        }

    private:
        void collect()
        {
            auto holderCounts = countLocalHolders(m_input);
            for (unsigned chunk = 0; chunk < m_input.manifest.chunks.size(); ++chunk) {
                if (!isNeeded(m_input, chunk))
                    continue;
                if (holderCounts[chunk])
                    m_local.push_back({ chunk, holderCounts[chunk], m_random.next() });
                else
                    m_absent.push_back(chunk);
            }
            std::sort(m_local.begin(), m_local.end(), [](auto& left, auto& right) {
                return std::tuple(left.holders, left.tieBreak) < std::tuple(right.holders, right.tieBreak);
            });
            for (size_t i = m_absent.size(); i > 1; --i)
                std::swap(m_absent[i - 1], m_absent[m_random.nextBelow(i)]);
        }

        void assignExternal()
        {
            if (!m_input.mayFetchExternally)
                return;
            auto assignedElsewhere = chunksAssignedElsewhere(m_input);
            for (auto chunk : m_absent) {
                if (m_activeDownloads >= maximumDownloads || m_externalDownloads >= maximumExternalDownloads)
                    return;
                if (assignedElsewhere.contains(chunk))
                    continue;
                auto responsibility = findResponsibility(m_input, chunk);
                if (responsibility.responsible)
                    assignExternalSource(chunk, responsibility.reason);
            }
        }

        void assignExternalSource(unsigned chunk, AssignmentReason reason)
        {
            if (m_input.ownership.chunks[chunk].fromOrigin) {
                if (m_input.originUsable && m_externalDownloads < m_originLimit)
                    assign({ chunk, SourceKind::Origin, {}, reason });
                return;
            }
            if (auto vm = chooseRemoteHolder(chunk))
                assign({ chunk, SourceKind::RemotePeer, *vm, reason });
        }

        std::optional<std::string> chooseRemoteHolder(unsigned chunk)
        {
            for (auto& region : m_input.ownership.chunks[chunk].upstream) {
                for (auto& vm : region) {
                    auto peer = m_input.peers.find(vm);
                    if (peer != m_input.peers.end() && isUsable(peer->second, chunk))
                        return vm;
                }
                // Wait for the preferred region, so that the store's region does not send every chunk to every other
                // region.
                if (!region.empty() && retainsOwnership(m_input, region.front(), chunk))
                    return std::nullopt;
            }
            return std::nullopt;
        }

        void assignLocal()
        {
            for (auto& candidate : m_local) {
                std::erase_if(m_localSources, [&](auto& source) { return *source.downloads >= m_downloadsPerPeer; });
                if (m_activeDownloads >= maximumDownloads || m_localSources.empty())
                    return;
                if (auto vm = chooseLocalHolder(candidate.chunk))
                    assign({ candidate.chunk, SourceKind::Peer, *vm, AssignmentReason::RarestFirst });
            }
        }

        // Prefers peers in the own data centre, then the fewest downloads by this agent, then the most free slots.
        std::optional<std::string> chooseLocalHolder(unsigned chunk)
        {
            std::optional<std::string> best;
            std::tuple<bool, unsigned, unsigned, uint64_t> bestCost;
            for (auto& source : m_localSources) {
                if (!source.peer->holds(chunk))
                    continue;
                std::tuple cost(source.isOutsideDataCentre, *source.downloads,
                    uploadSlots - std::min(uploadSlots, source.peer->progress.holdings->freeUploadSlots), m_random.next());
                if (!best || cost < bestCost) {
                    best = source.peer->participant->vm;
                    bestCost = cost;
                }
            }
            return best;
        }

        bool isUsable(const PeerView& peer, unsigned chunk)
        {
            return !peer.inBackoff && !peer.busy && peer.holds(chunk) && m_downloads[peer.participant->vm] < m_downloadsPerPeer;
        }

        void assign(ChunkAssignment assignment)
        {
            auto& digest = m_input.manifest.chunks[assignment.chunk].digest;
            if (!m_assignedDigests.insert(digest).second)
                return;
            ++m_activeDownloads;
            m_externalDownloads += assignment.source == SourceKind::Peer ? 0 : 1;
            if (!assignment.vm.empty())
                ++m_downloads[assignment.vm];
            m_assignments.push_back(std::move(assignment));
        }

        const ScheduleInput& m_input;
        Base::RandomSource& m_random;
        unsigned m_activeDownloads;
        unsigned m_externalDownloads;
        unsigned m_originLimit;
        unsigned m_downloadsPerPeer;
        std::map<std::string, unsigned> m_downloads;
        std::vector<LocalSource> m_localSources;
        std::set<std::string> m_assignedDigests;
        std::vector<LocalCandidate> m_local;
        std::vector<unsigned> m_absent;
        std::vector<ChunkAssignment> m_assignments;
    };

    void addWatched(std::vector<std::string>& vms, const std::string& vm)
    {
        if (vms.size() < maximumWatchedPeers / 2 && std::find(vms.begin(), vms.end(), vm) == vms.end())
            vms.push_back(vm);
    }

    // Adds the two highest-ranked agents of each of the two preferred regions.
    void watchUpstream(const ScheduleInput& input, unsigned chunk, std::vector<std::string>& vms)
    {
        constexpr size_t watchedRegions = 2;
        constexpr size_t watchedRanks = 2;
        auto& upstream = input.ownership.chunks[chunk].upstream;
        for (size_t region = 0; region < std::min(watchedRegions, upstream.size()); ++region) {
            for (size_t rank = 0; rank < std::min(watchedRanks, upstream[region].size()); ++rank)
                addWatched(vms, upstream[region][rank]);
        }
    }

    void watchRanked(const ScheduleInput& input, unsigned chunk, std::vector<std::string>& vms)
    {
        auto& ranked = input.ownership.chunks[chunk].ranked;
        auto self = std::find(ranked.begin(), ranked.end(), input.self.vm);
        if (self == ranked.end())
            return;
        for (auto vm = ranked.begin(); vm != self; ++vm)
            addWatched(vms, *vm);
    }

} // namespace

std::vector<ChunkAssignment> scheduleChunks(const ScheduleInput& input, Base::RandomSource& random)
{
    return SchedulingRound(input, random).run();
}

WatchedPeers choosePeersToWatch(const ScheduleInput& input)
{
    WatchedPeers watched;
    auto holders = countLocalHolders(input);
    for (unsigned chunk = 0; chunk < input.manifest.chunks.size(); ++chunk) {
        if (!isNeeded(input, chunk) || holders[chunk])
            continue;
        watchRanked(input, chunk, watched.ranked);
        if (!input.ownership.chunks[chunk].fromOrigin && findResponsibility(input, chunk).responsible)
            watchUpstream(input, chunk, watched.upstream);
    }
    return watched;
}

std::chrono::milliseconds chooseHoldingsInterval(const ScheduleInput& input)
{
    size_t choice = 0;
    auto holders = countLocalHolders(input);
    for (unsigned chunk = 0; chunk < input.manifest.chunks.size() && choice < relaxedCandidateThreshold; ++chunk)
        choice += holders[chunk] && isNeeded(input, chunk) ? 1 : 0;
    return choice < relaxedCandidateThreshold ? holdingsInterval : relaxedHoldingsInterval;
}

unsigned countUnavailableChunks(const ScheduleInput& input)
{
    unsigned missing = 0;
    for (unsigned chunk = 0; chunk < input.manifest.chunks.size(); ++chunk) {
        auto held = std::any_of(input.peers.begin(), input.peers.end(), [&](auto& entry) { return !entry.second.inBackoff && entry.second.holds(chunk); });
        if (!input.held[chunk] && !held)
            ++missing;
    }
    return missing;
}

} // namespace Lavenderloft::Weights::Queries
