#include "Bench/RolloutBenchmark.h"

#include "Bench/RolloutWorkers.h"
#include "Weights/Queries/ChunkOwnership.h"
#include "Weights/TransferLimits.h"

#include <algorithm>
#include <array>
#include <sys/resource.h>
#include <thread>

namespace Lavenderloft::Bench {

namespace {

    // Link capacities in copies of the model per floor. In the time T of the target, the origin's link carries four
    // copies and a VM's link two, so in the floor, which is T/2, they carry two and one. An inter-region link is assumed
    // to have the rate of the origin's.
    constexpr double originCopiesPerFloor = 2;
    constexpr double vmCopiesPerFloor = 1;
    constexpr double interRegionCopiesPerFloor = 2;
    // Start of the fault and duration of a partition, in floors.
    constexpr double faultStartFloors = 0.25;
    constexpr double partitionDurationFloors = 0.5;
    // Time until failure detection removes a dead member.
    constexpr std::chrono::milliseconds failureDetectionTime { 5000 };
    constexpr std::chrono::milliseconds pollInterval { 20 };

    struct FaultEntry {
        RolloutFault fault;
        const char* name;
    };

    constexpr std::array faults {
        FaultEntry { RolloutFault::None, "none" },
        FaultEntry { RolloutFault::Corrupt, "corrupt" },
        FaultEntry { RolloutFault::Stall, "stall" },
        FaultEntry { RolloutFault::Kill, "kill" },
        FaultEntry { RolloutFault::VersionChange, "version-change" },
        FaultEntry { RolloutFault::Partition, "partition" },
    };

    std::chrono::duration<double> ownProcessorTime()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        auto toDuration = [](const timeval& time) { return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec); };
        return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
    }

    // Runs one rollout, injects its fault and collects the results.
    class RolloutRun {
    public:
        explicit RolloutRun(const RolloutOptions& options)
            : m_options(options)
            , m_model(makeModel({ "1", options.chunkCount, options.chunkBytes, options.seed, 2 }))
            , m_successorModel(makeModel({ "2", options.chunkCount, options.chunkBytes, options.seed, 2 }))
            , m_models { { m_model.digest, m_model }, { m_successorModel.digest, m_successorModel } }
            , m_shape(makeShape())
            , m_links(RolloutFleet::makeLinks(m_shape))
            , m_workers(m_shape, options.replicasPerProcess, m_links, m_models)
            , m_store(m_links, m_clock)
            , m_faultyVm(findBusiestReplica())
        {
            m_store.addModel(m_model);
            m_store.addModel(m_successorModel);
            m_workers.start(m_store.address());
        }

        RolloutMeasurement run()
        {
            m_start = m_clock.now();
            m_processorBefore = processorTime();
            m_workers.setWanted(m_model.digest);
            m_measurement.complete = waitUntilComplete();
            m_measurement.timeInFloors = elapsedFloors();
            collect();
            return m_measurement;
        }

    private:
        FleetShape makeShape() const
        {
            FleetShape shape;
            shape.replicas = m_options.replicas;
            shape.regions = m_options.regions;
            auto rate = static_cast<double>(m_model.totalBytes) / std::chrono::duration<double>(m_options.floor).count();
            shape.rates = { rate * originCopiesPerFloor, rate * vmCopiesPerFloor, rate * interRegionCopiesPerFloor };
            shape.seed = m_options.seed;
            shape.originOnly = m_options.originOnly;
            return shape;
        }

        // The replica in the store's region that ranks first for the most chunks: its failure delays the rollout most.
        std::string findBusiestReplica() const
        {
            std::vector<Weights::Participant> participants;
            for (unsigned i = 0; i < m_shape.replicas; ++i)
                participants.push_back({ RolloutFleet::vmName(i), "", "", RolloutFleet::regionName(i % m_shape.regions) });
            auto storeRegion = RolloutFleet::regionName(0);
            auto manifest = Base::takeValue(Weights::parseManifest(m_model.document));
            std::map<std::string, unsigned> chunksByVm;
            for (auto& ownership : Weights::Queries::assignOwnership(manifest, participants, storeRegion, storeRegion).chunks)
                ++chunksByVm[ownership.ranked.front()];
            std::string busiest = participants.front().vm;
            for (auto& participant : participants) {
                if (chunksByVm[participant.vm] > chunksByVm[busiest])
                    busiest = participant.vm;
            }
            return busiest;
        }

        std::chrono::duration<double> processorTime() const { return ownProcessorTime() + m_workers.processorTime(); }

        // Returns false on time-out.
        bool waitUntilComplete()
        {
            while (!step()) {
                if (m_clock.now() - m_start >= m_options.limit)
                    return false;
                std::this_thread::sleep_for(pollInterval);
            }
            return true;
        }

        double elapsedFloors() const
        {
            return std::chrono::duration<double>(m_clock.now() - m_start) / std::chrono::duration<double>(m_options.floor);
        }

        const Model& finalModel() const
        {
            return m_options.fault == RolloutFault::VersionChange ? m_successorModel : m_model;
        }

        // Starts and ends the fault when due; returns whether the rollout is complete.
        bool step()
        {
            auto elapsed = elapsedFloors();
            if (!m_faultBegan && elapsed >= faultStartFloors)
                beginFault();
            if (m_faultBegan)
                continueFault(elapsed);
            auto complete = m_workers.countComplete(finalModel().digest);
            if (!m_measurement.medianInFloors && complete * 2 >= m_options.replicas)
                m_measurement.medianInFloors = elapsed;
            return complete == m_alive && (m_faultBegan || m_options.fault == RolloutFault::None);
        }

        void beginFault()
        {
            m_faultBegan = true;
            m_faultBeganAt = m_clock.now();
            switch (m_options.fault) {
            case RolloutFault::None:
                return;
            case RolloutFault::Corrupt:
                return m_workers.corruptChunksFrom(m_faultyVm);
            case RolloutFault::Stall:
                return m_workers.stallChunksFrom(m_faultyVm);
            case RolloutFault::Kill:
                --m_alive;
                return m_workers.kill(m_faultyVm);
            case RolloutFault::VersionChange:
                return m_workers.setWanted(m_successorModel.digest);
            case RolloutFault::Partition: {
                auto region = RolloutFleet::regionName(m_options.regions - 1);
                m_workers.partitionRegion(region);
                return m_store.setPartitionedRegions({ region });
            }
            }
        }

        void continueFault(double elapsed)
        {
            if (m_options.fault == RolloutFault::Partition && !m_partitionHealed && elapsed >= faultStartFloors + partitionDurationFloors) {
                m_partitionHealed = true;
                m_workers.partitionRegion("");
                m_store.setPartitionedRegions({});
            }
            if (m_options.fault == RolloutFault::Kill && !m_memberRemoved && m_clock.now() - m_faultBeganAt >= failureDetectionTime) {
                m_memberRemoved = true;
                m_workers.removeMember(m_faultyVm);
            }
        }

        double toCopies(uint64_t bytes) const
        {
            return static_cast<double>(bytes) / static_cast<double>(m_model.totalBytes);
        }

        void collect()
        {
            auto seconds = std::chrono::duration<double>(m_clock.now() - m_start).count();
            m_measurement.processorCores = (processorTime() - m_processorBefore).count() / seconds;
            m_measurement.peakBytesPerAgent = m_workers.peakGrowthBytes() / m_options.replicas;
            m_measurement.originCopies = toCopies(m_links->originBytes());
            for (auto& [link, bytes] : m_links->interRegionBytes())
                m_measurement.copiesByLink[link] = toCopies(bytes);
            for (unsigned i = 0; i < m_options.regions; ++i)
                m_measurement.interRegionCopies = std::max(m_measurement.interRegionCopies, toCopies(m_links->bytesInto(RolloutFleet::regionName(i))));
            auto totals = m_workers.collect(finalModel().digest);
            m_measurement.wrongReplicas = totals.wrongReplicas;
            m_measurement.corruptChunks = totals.corruptChunks;
            m_measurement.stalledDownloads = totals.stalledDownloads;
            m_measurement.failedDownloads = totals.failedDownloads;
            m_measurement.holdingsRoundTripP99Ms = totals.roundTrips.p99.count();
            m_measurement.holdingsRoundTripMaxMs = totals.roundTrips.maximum.count();
            auto perSecondAndAgent = [&](uint64_t count) { return static_cast<double>(count) / seconds / m_options.replicas; };
            m_measurement.controlBytesPerSecond = perSecondAndAgent(totals.controlBytes);
            m_measurement.holdingsRequestsPerSecond = perSecondAndAgent(totals.holdingsRequests);
            m_measurement.chunkRequestsPerSecond = perSecondAndAgent(totals.chunkRequests);
            m_measurement.refusedShare = totals.chunkRequests ? static_cast<double>(totals.busyRefusals) / static_cast<double>(totals.chunkRequests) : 0;
        }

        RolloutOptions m_options;
        Model m_model;
        Model m_successorModel;
        std::map<std::string, Model> m_models;
        FleetShape m_shape;
        Base::SystemClock m_clock;
        std::shared_ptr<RolloutLinks> m_links;
        RolloutWorkers m_workers;
        RolloutStore m_store;
        std::string m_faultyVm;
        Base::TimePoint m_start;
        std::chrono::duration<double> m_processorBefore { 0 };
        Base::TimePoint m_faultBeganAt;
        bool m_faultBegan = false;
        bool m_memberRemoved = false;
        bool m_partitionHealed = false;
        unsigned m_alive = m_options.replicas;
        RolloutMeasurement m_measurement;
    };

} // namespace

RolloutOptions scaleChunkSize(RolloutOptions options)
{
    if (options.replicas <= maximumReplicasAtDefaultChunkSize)
        return options;
    constexpr size_t chunkBytes = 2 * Weights::minimumPartBytes;
    options.chunkBytes = std::min(options.chunkBytes, chunkBytes);
    return options;
}

RolloutMeasurement measureRollout(const RolloutOptions& options)
{
    return RolloutRun(options).run();
}

std::optional<RolloutFault> parseFault(const std::string& name)
{
    for (auto& entry : faults) {
        if (name == entry.name)
            return entry.fault;
    }
    return std::nullopt;
}

std::string faultName(RolloutFault fault)
{
    for (auto& entry : faults) {
        if (fault == entry.fault)
            return entry.name;
    }
    return "none";
}

} // namespace Lavenderloft::Bench
