#pragma once

#include "Base/RandomSource.h"
#include "Process/ControlView.h"
#include "Process/WeightRuntime.h"
#include "Weights/InterRegionLimiter.h"
#include "Weights/PeerClient.h"
#include "Weights/Queries/ChunkScheduler.h"
#include "Weights/Queries/TransferQueries.h"

#include <map>

namespace Lavenderloft::Process {

// Carries out the decisions of Weights/Queries for all transfers of a VM. Used by one thread only.
class TransferDriver {
public:
    struct Environment {
        std::shared_ptr<WeightRuntime> runtime;
        std::shared_ptr<Weights::PeerClient> peers;
        std::shared_ptr<Weights::ChunkSource> origin;
        std::shared_ptr<Weights::InterRegionLimiter> limiter;
        std::shared_ptr<Base::RandomSource> random;
        ControlView& control;
        Weights::Participant self;
        std::string storeRegion;
    };

    explicit TransferDriver(Environment);

    // One round: drops stalled downloads, asks peers, begins downloads.
    void run();

    // Cancels every download.
    void cancelAll();

private:
    // What the driver remembers of one transfer between rounds.
    struct Plan {
        std::vector<Weights::Participant> participants;
        std::vector<Weights::Participant> neighbours;
        // Neighbours and chunk owners, the only peers that are ever sources of chunks.
        std::vector<Weights::Participant> sources;
        std::map<std::string, Weights::Participant> byVm;
        std::shared_ptr<const Weights::Queries::ManifestOwnership> ownership;
        Base::TimePoint refreshedAt;
        Base::TimePoint participantsChangedAt;
        unsigned manifestAttempts = 0;
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
    void askPeers(Plan&, const Weights::Queries::TransferSnapshot&, const Weights::Queries::ScheduleInput&);
    void ask(const Weights::Participant&, const std::string& manifestDigest);
    void beginDownload(const Plan&, const Weights::Queries::TransferSnapshot&, const Weights::Queries::ChunkAssignment&);
    void cancelStalledDownloads();
    void reportDelay(Plan&, const Weights::Queries::TransferSnapshot&, const Weights::Queries::ScheduleInput&);
    bool mayFetchExternally(const Plan&, const Weights::Queries::TransferSnapshot&, const Weights::Queries::PeerViews&, Base::TimePoint now) const;
    bool haveNeighboursAnswered(const Plan&, const Weights::Queries::PeerViews&) const;

    Environment m_environment;
    std::map<std::string, Plan> m_plans;
};

} // namespace Lavenderloft::Process
