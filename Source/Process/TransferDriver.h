#pragma once

#include "Base/RandomSource.h"
#include "Process/ControlView.h"
#include "Process/WeightRuntime.h"
#include "Weights/InterRegionLimiter.h"
#include "Weights/PeerClient.h"
#include "Weights/Queries/ChunkScheduler.h"
#include "Weights/Queries/TransferQueries.h"

#include <atomic>
#include <map>

namespace Lavenderloft::Process {

// Applies the decisions of Weights/Queries to all transfers of a VM. Not thread-safe.
class TransferDriver {
public:
    struct Dependencies {
        std::shared_ptr<WeightRuntime> runtime;
        std::shared_ptr<Weights::PeerClient> peers;
        std::shared_ptr<Weights::ChunkSource> origin;
        std::shared_ptr<Weights::InterRegionLimiter> limiter;
        std::shared_ptr<Base::RandomSource> random;
        ControlView& control;
        Weights::Participant self;
        std::string storeRegion;
    };

    explicit TransferDriver(Dependencies);

    // Runs one round: cancels stalled downloads, requests holdings from peers and starts downloads.
    void run();

    // Cancels every download.
    void cancelAll();

private:
    // State of one transfer that is kept between rounds.
    struct Plan {
        std::vector<Weights::Participant> participants;
        std::vector<Weights::Participant> neighbours;
        // Neighbours and chunk owners; only these peers serve as sources of chunks.
        std::vector<Weights::Participant> sources;
        std::map<std::string, Weights::Participant> byVm;
        std::shared_ptr<const Weights::Queries::ManifestOwnership> ownership;
        Base::TimePoint refreshedAt;
        Base::TimePoint participantsChangedAt;
        unsigned manifestAttempts = 0;
        // Number of requests to peers for the manifest that timed out.
        std::shared_ptr<std::atomic<unsigned>> manifestTimeouts = std::make_shared<std::atomic<unsigned>>(0);
        Base::TimePoint nextManifestAttempt;
        std::shared_ptr<std::atomic<bool>> manifestPending = std::make_shared<std::atomic<bool>>(false);
        Weights::TransferPhase reportedPhase = Weights::TransferPhase::FetchingManifest;
        Base::TimePoint reportedPhaseSince;
        Base::TimePoint nextWatch;
        Base::TimePoint nextDelayReport;
    };

    void refreshPlan(Plan&, const Weights::Queries::TransferSnapshot&);
    void chooseSources(Plan&, const Weights::Queries::TransferSnapshot&);
    void reportPhase(Plan&, const Weights::Queries::TransferSnapshot&);
    void fetchManifest(Plan&, const Weights::Queries::TransferSnapshot&);
    void fetchChunks(Plan&, const Weights::Queries::TransferSnapshot&);
    void requestPeerHoldings(Plan&, const Weights::Queries::TransferSnapshot&, const Weights::Queries::ScheduleInput&);
    void requestHoldings(const Weights::Participant&, const std::string& manifestDigest);
    void beginDownload(const Plan&, const Weights::Queries::TransferSnapshot&, const Weights::Queries::ChunkAssignment&);
    void cancelStalledDownloads();
    bool isReplaceable(const Weights::Download&, Base::TimePoint now) const;
    void reportDelay(Plan&, const Weights::Queries::TransferSnapshot&, const Weights::Queries::ScheduleInput&);
    bool mayFetchExternally(const Plan&, const Weights::Queries::TransferSnapshot&, const Weights::Queries::PeerViews&, Base::TimePoint now) const;
    bool haveNeighboursResponded(const Plan&, const Weights::Queries::PeerViews&) const;

    Dependencies m_dependencies;
    std::map<std::string, Plan> m_plans;
};

} // namespace Lavenderloft::Process
