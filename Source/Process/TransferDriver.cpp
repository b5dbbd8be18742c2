#include "Process/TransferDriver.h"

#include "Observability/Log.h"
#include "Process/ChunkDownload.h"
#include "Weights/Commands/DownloadCommands.h"
#include "Weights/Commands/PeerCommands.h"
#include "Weights/Commands/TransferCommands.h"
#include "Weights/Events.h"
#include "Weights/Queries/Neighbours.h"
#include "Weights/Queries/OriginQueries.h"
#include "Weights/Queries/Participants.h"
#include "Weights/Queries/SourceSelection.h"
#include "Weights/TransferLimits.h"

#include <algorithm>

namespace Lavenderloft::Process {

namespace Commands = Weights::Commands;
namespace Queries = Weights::Queries;
using Queries::TransferSnapshot;
using Weights::TransferPhase;

namespace {

    // During a rollout members change many times a second; the ranking is not recomputed for each change.
    constexpr std::chrono::milliseconds planRefreshInterval { 1000 };
    // Refresh interval until the participants of a new transfer have settled.
    constexpr std::chrono::milliseconds settlingRefreshInterval { 100 };

    const char* phaseName(TransferPhase phase)
    {
        switch (phase) {
        case TransferPhase::FetchingManifest:
            return "fetching-manifest";
        case TransferPhase::FetchingChunks:
            return "fetching-chunks";
        case TransferPhase::Complete:
            return "complete";
        case TransferPhase::Failed:
            return "failed";
        case TransferPhase::Stopped:
            return "stopped";
        }
        return "";
    }

    const char* reasonName(Queries::AssignmentReason reason)
    {
        switch (reason) {
        case Queries::AssignmentReason::RarestFirst:
            return "rarest-first";
        case Queries::AssignmentReason::FirstInRank:
            return "first-in-rank";
        case Queries::AssignmentReason::TakenOver:
            return "taken-over";
        }
        return "";
    }

} // namespace

TransferDriver::TransferDriver(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void TransferDriver::run()
{
    cancelStalledDownloads();
    auto snapshots = Queries::snapshotTransfers(m_dependencies.runtime->state->transfers);
    std::erase_if(m_plans, [&](auto& entry) {
        return std::none_of(snapshots.begin(), snapshots.end(), [&](auto& snapshot) { return snapshot.digest == entry.first; });
    });
    for (auto& snapshot : snapshots) {
        auto& plan = m_plans[snapshot.digest];
        reportPhase(plan, snapshot);
        if (snapshot.phase != TransferPhase::FetchingManifest && snapshot.phase != TransferPhase::FetchingChunks)
            continue;
        refreshPlan(plan, snapshot);
        if (snapshot.phase == TransferPhase::FetchingManifest)
            fetchManifest(plan, snapshot);
        else
            fetchChunks(plan, snapshot);
    }
}

void TransferDriver::cancelAll()
{
    for (auto& download : Queries::allDownloads(m_dependencies.runtime->state->downloads)) {
        if (download.fetch)
            download.fetch->cancel();
    }
}

void TransferDriver::refreshPlan(Plan& plan, const TransferSnapshot& snapshot)
{
    auto now = m_dependencies.runtime->clock.now();
    bool needsOwnership = snapshot.manifest && !plan.ownership;
    bool settled = Queries::areParticipantsSettled(snapshot.phaseSince, plan.participantsChangedAt, now)
        && !Queries::isStoreRegionAwaited(plan.participants, m_dependencies.self, m_dependencies.storeRegion, snapshot.phaseSince, now);
    auto interval = settled ? planRefreshInterval : settlingRefreshInterval;
    if (!needsOwnership && plan.refreshedAt != Base::TimePoint {} && now - plan.refreshedAt < interval)
        return;
    plan.refreshedAt = now;
    auto document = m_dependencies.control.document();
    auto participants = Queries::findParticipants(m_dependencies.control.members(), document.get(), snapshot.digest, m_dependencies.self);
    if (participants == plan.participants && !needsOwnership)
        return;
    if (participants != plan.participants)
        plan.participantsChangedAt = now;
    plan.participants = std::move(participants);
    plan.neighbours = Queries::chooseNeighbours(m_dependencies.self, plan.participants);
    plan.byVm.clear();
    for (auto& participant : plan.participants)
        plan.byVm.emplace(participant.vm, participant);
    if (snapshot.manifest)
        chooseSources(plan, snapshot);
    size_t agents = std::count_if(plan.participants.begin(), plan.participants.end(), [&](auto& participant) { return participant.region == m_dependencies.self.region; });
    m_dependencies.limiter->setSenders(std::min(agents, Weights::ownersPerRegion), now);
}

void TransferDriver::chooseSources(Plan& plan, const TransferSnapshot& snapshot)
{
    plan.ownership = std::make_shared<const Queries::ManifestOwnership>(Queries::assignOwnership(*snapshot.manifest, plan.participants, m_dependencies.self.region, m_dependencies.storeRegion));
    plan.sources = plan.neighbours;
    for (auto& agent : plan.ownership->agents) {
        if (agent.vm != m_dependencies.self.vm && std::find(plan.neighbours.begin(), plan.neighbours.end(), agent) == plan.neighbours.end())
            plan.sources.push_back(agent);
    }
}

void TransferDriver::reportPhase(Plan& plan, const TransferSnapshot& snapshot)
{
    if (plan.reportedPhaseSince == Base::TimePoint {})
        plan.reportedPhaseSince = snapshot.phaseSince;
    if (plan.reportedPhase == snapshot.phase)
        return;
    m_dependencies.runtime->metrics->observe("weight_phase_seconds", { { "phase", phaseName(plan.reportedPhase) } }, std::chrono::duration<double>(snapshot.phaseSince - plan.reportedPhaseSince).count());
    plan.reportedPhaseSince = snapshot.phaseSince;
    auto progress = Queries::transferProgress(m_dependencies.runtime->state->transfers, snapshot.digest);
    if (snapshot.phase == TransferPhase::Complete)
        Observability::logEvent(Weights::transferComplete, { { "manifest", snapshot.digest }, { "chunks", progress.chunksTotal } });
    else if (snapshot.phase == TransferPhase::Failed)
        Observability::logEvent(Weights::transferFailed, { { "manifest", snapshot.digest }, { "reason", progress.reason } });
    else if (snapshot.phase == TransferPhase::FetchingChunks)
        Observability::logEvent(Weights::manifestAccepted, { { "manifest", snapshot.digest }, { "chunks", progress.chunksTotal } });
    plan.reportedPhase = snapshot.phase;
}

void TransferDriver::fetchManifest(Plan& plan, const TransferSnapshot& snapshot)
{
    auto now = m_dependencies.runtime->clock.now();
    if (now < plan.nextManifestAttempt || plan.manifestPending->exchange(true))
        return;
    auto ownership = Queries::assignManifestOwnership(snapshot.digest, plan.participants, m_dependencies.self.region, m_dependencies.storeRegion);
    auto source = Queries::chooseManifestSource(ownership, m_dependencies.self, plan.neighbours, plan.manifestAttempts, now - snapshot.phaseSince, *m_dependencies.random);
    plan.nextManifestAttempt = now + Queries::manifestRetryDelay(plan.manifestAttempts);
    ++plan.manifestAttempts;
    auto received = [runtime = m_dependencies.runtime, digest = snapshot.digest, pending = plan.manifestPending, timeouts = plan.manifestTimeouts](const Base::Result<std::string, Weights::WeightError>& result) {
        auto& state = *runtime->state;
        if (!Base::succeeded(result)) {
            if (Base::errorOf(result).kind == Weights::WeightErrorKind::Stalled)
                ++*timeouts;
            Commands::setDelayReason(state.transfers, digest, "the manifest has not arrived: " + Base::errorOf(result).describe());
        } else {
            auto accepted = Commands::acceptManifest(state.transfers, state.chunks, digest, Base::valueOf(result), runtime->clock.now());
            if (!Base::succeeded(accepted))
                Observability::logEvent(Weights::manifestRefused, { { "manifest", digest }, { "reason", Base::errorOf(accepted).describe() } });
        }
        pending->store(false);
        runtime->wake();
    };
    if (source.origin)
        return m_dependencies.origin->fetchManifest(snapshot.digest, received);
    m_dependencies.peers->getManifest(plan.byVm.at(source.vm), snapshot.digest, Queries::manifestTimeout(*plan.manifestTimeouts), received);
}

void TransferDriver::fetchChunks(Plan& plan, const TransferSnapshot& snapshot)
{
    auto& state = *m_dependencies.runtime->state;
    auto now = m_dependencies.runtime->clock.now();
    auto peers = Queries::viewPeers(state.peers, plan.sources, snapshot.digest, now);
    auto inFlight = Queries::chunksInFlight(state.downloads);
    Queries::ScheduleInput input {
        *snapshot.manifest,
        snapshot.held,
        inFlight,
        Queries::countDownloads(state.downloads),
        *plan.ownership,
        peers,
        m_dependencies.self,
        mayFetchExternally(plan, snapshot, peers, now),
        Queries::isOriginUsable(state.origin, now),
        now,
    };
    requestPeerHoldings(plan, snapshot, input);
    for (auto& assignment : Queries::scheduleChunks(input, *m_dependencies.random))
        beginDownload(plan, snapshot, assignment);
    reportDelay(plan, snapshot, input);
}

void TransferDriver::requestPeerHoldings(Plan& plan, const TransferSnapshot& snapshot, const Queries::ScheduleInput& input)
{
    auto isDue = [&](const Weights::Participant& peer, std::chrono::milliseconds interval) {
        auto& progress = input.peers.at(peer.vm).progress;
        return !progress.requestPending && input.now - progress.requestedAt >= interval;
    };
    auto neighbourInterval = Queries::chooseHoldingsInterval(input);
    for (auto& neighbour : plan.neighbours) {
        if (isDue(neighbour, neighbourInterval))
            requestHoldings(neighbour, snapshot.digest);
    }
    if (input.now < plan.nextWatch)
        return;
    plan.nextWatch = input.now + Weights::holdingsInterval;
    auto watched = Queries::choosePeersToWatch(input);
    for (auto& vm : watched.upstream) {
        if (plan.byVm.contains(vm) && isDue(plan.byVm.at(vm), Weights::holdingsInterval))
            requestHoldings(plan.byVm.at(vm), snapshot.digest);
    }
    for (auto& vm : watched.ranked) {
        if (plan.byVm.contains(vm) && isDue(plan.byVm.at(vm), Weights::watchInterval))
            requestHoldings(plan.byVm.at(vm), snapshot.digest);
    }
}

void TransferDriver::requestHoldings(const Weights::Participant& peer, const std::string& manifestDigest)
{
    auto runtime = m_dependencies.runtime;
    ++runtime->state->counters.holdingsRequests;
    Commands::recordHoldingsRequested(runtime->state->peers, peer.vm, manifestDigest, runtime->clock.now());
    m_dependencies.peers->getHoldings(peer, manifestDigest, [runtime, vm = peer.vm, manifestDigest](const Base::Result<Weights::Holdings, Weights::WeightError>& result) {
        auto now = runtime->clock.now();
        if (Base::succeeded(result))
            Commands::recordHoldings(runtime->state->peers, vm, manifestDigest, Base::valueOf(result), now);
        else
            Commands::recordHoldingsFailed(runtime->state->peers, vm, manifestDigest, Base::errorOf(result).kind, now);
    });
}

void TransferDriver::beginDownload(const Plan& plan, const TransferSnapshot& snapshot, const Queries::ChunkAssignment& assignment)
{
    auto runtime = m_dependencies.runtime;
    auto now = runtime->clock.now();
    auto& chunk = snapshot.manifest->chunks[assignment.chunk];
    auto begun = Commands::beginDownload(runtime->state->downloads, chunk.digest, { snapshot.digest, assignment.chunk, assignment.source, assignment.vm, now, now, nullptr });
    if (!Base::succeeded(begun))
        return;
    Observability::logEvent(Weights::chunkAssigned, { { "manifest", snapshot.digest }, { "chunk", assignment.chunk }, { "source", sourceName(assignment.source) }, { "vm", assignment.vm }, { "reason", reasonName(assignment.reason) } });
    auto sink = std::make_shared<ChunkDownload>(runtime, chunk, assignment.source, assignment.vm);
    if (assignment.source == Weights::SourceKind::Origin) {
        Commands::attachFetch(runtime->state->downloads, chunk.digest, m_dependencies.origin->fetchChunk(chunk.digest, sink));
        return;
    }
    ++runtime->state->counters.chunkRequests;
    Commands::recordDownloadBegun(runtime->state->peers, assignment.vm);
    Commands::attachFetch(runtime->state->downloads, chunk.digest, m_dependencies.peers->fetchChunk(plan.byVm.at(assignment.vm), { chunk.digest, snapshot.priority }, sink));
}

void TransferDriver::cancelStalledDownloads()
{
    auto runtime = m_dependencies.runtime;
    auto now = runtime->clock.now();
    for (auto& [chunkDigest, download] : Queries::stalledDownloads(runtime->state->downloads, now - Weights::stallTimeout)) {
        if (now - download.progressAt < Weights::onlySenderStallTimeout && !isReplaceable(download, now))
            continue;
        Commands::markDownloadCancelled(runtime->state->downloads, chunkDigest);
        ++runtime->state->counters.stalledDownloads;
        Observability::logEvent(Weights::downloadStalled, { { "manifest", download.manifestDigest }, { "chunk", download.chunk }, { "source", sourceName(download.source) }, { "vm", download.vm } });
        Commands::startPeerBackoff(runtime->state->peers, download.vm, now + Queries::backoffAfter(Weights::WeightErrorKind::Stalled));
        download.fetch->cancel();
    }
}

bool TransferDriver::isReplaceable(const Weights::Download& download, Base::TimePoint now) const
{
    auto plan = m_plans.find(download.manifestDigest);
    if (plan == m_plans.end())
        return true;
    auto peers = Queries::viewPeers(m_dependencies.runtime->state->peers, plan->second.sources, download.manifestDigest, now);
    return Queries::isReplaceable(peers, download.vm, download.chunk);
}

void TransferDriver::reportDelay(Plan& plan, const TransferSnapshot& snapshot, const Queries::ScheduleInput& input)
{
    if (input.now - snapshot.progressAt < Weights::delayReportThreshold || input.now < plan.nextDelayReport)
        return;
    plan.nextDelayReport = input.now + Weights::delayReportThreshold;
    auto missing = Queries::countUnavailableChunks(input);
    auto reason = std::to_string(missing) + " of " + std::to_string(snapshot.held.size()) + " chunks are held by no agent that can be reached";
    if (!input.originUsable)
        reason += ", and the weight store failed at the last request";
    Commands::setDelayReason(m_dependencies.runtime->state->transfers, snapshot.digest, reason);
    Observability::logEvent(Weights::transferDelayed, { { "manifest", snapshot.digest }, { "missing", missing } });
}

bool TransferDriver::mayFetchExternally(const Plan& plan, const TransferSnapshot& snapshot, const Queries::PeerViews& peers, Base::TimePoint now) const
{
    return haveNeighboursResponded(plan, peers) && Queries::areParticipantsSettled(snapshot.phaseSince, plan.participantsChangedAt, now)
        && !Queries::isStoreRegionAwaited(plan.participants, m_dependencies.self, m_dependencies.storeRegion, snapshot.phaseSince, now);
}

bool TransferDriver::haveNeighboursResponded(const Plan& plan, const Queries::PeerViews& peers) const
{
    return std::all_of(plan.neighbours.begin(), plan.neighbours.end(), [&](auto& neighbour) {
        auto& progress = peers.at(neighbour.vm).progress;
        return progress.respondedAt != Base::TimePoint {} || progress.failedAt != Base::TimePoint {};
    });
}

} // namespace Lavenderloft::Process
