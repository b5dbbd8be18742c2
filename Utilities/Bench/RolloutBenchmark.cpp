#include "Bench/RolloutBenchmark.h"

#include "Weights/Queries/ChunkOwnership.h"
#include "Weights/TransferLimits.h"

#include <algorithm>
#include <array>
#include <sys/resource.h>

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

    uint64_t residentPeakBytes()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        constexpr uint64_t bytesPerKilobyte = 1024;
        return static_cast<uint64_t>(usage.ru_maxrss) * bytesPerKilobyte;
    }

    std::chrono::duration<double> processorTime()
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
            , m_memoryBefore(residentPeakBytes())
            , m_fleet(makeShape())
        {
            m_fleet.addModel(m_model);
            m_fleet.addModel(m_successorModel);
            m_faultyReplica = findBusiestReplica();
        }

        RolloutMeasurement run()
        {
            m_start = m_clock.now();
            m_processorBefore = processorTime();
            m_fleet.setWanted(std::vector { m_model.digest });
            m_measurement.complete = m_fleet.waitUntil([this] { return step(); }, m_options.limit);
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
        unsigned findBusiestReplica() const
        {
            std::vector<Weights::Participant> participants;
            for (unsigned i = 0; i < m_fleet.size(); ++i)
                participants.push_back({ m_fleet.vm(i), "", "", m_fleet.region(i) });
            auto storeRegion = RolloutFleet::regionName(0);
            auto manifest = Base::takeValue(Weights::parseManifest(m_model.document));
            std::map<std::string, unsigned> chunksByVm;
            for (auto& ownership : Weights::Queries::assignOwnership(manifest, participants, storeRegion, storeRegion).chunks)
                ++chunksByVm[ownership.ranked.front()];
            unsigned busiest = 0;
            for (unsigned i = 0; i < m_fleet.size(); ++i) {
                if (chunksByVm[m_fleet.vm(i)] > chunksByVm[m_fleet.vm(busiest)])
                    busiest = i;
            }
            return busiest;
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
            auto complete = countComplete();
            if (!m_measurement.medianInFloors && complete * 2 >= m_options.replicas)
                m_measurement.medianInFloors = elapsed;
            return complete == countAlive() && (m_faultBegan || m_options.fault == RolloutFault::None);
        }

        void beginFault()
        {
            m_faultBegan = true;
            m_faultBeganAt = m_clock.now();
            auto faulty = m_faultyReplica;
            switch (m_options.fault) {
            case RolloutFault::None:
                return;
            case RolloutFault::Corrupt:
                return m_fleet.faults().corruptChunksFrom(m_fleet.vm(faulty));
            case RolloutFault::Stall:
                return m_fleet.faults().stallChunksFrom(m_fleet.vm(faulty));
            case RolloutFault::Kill:
                return m_fleet.kill(faulty);
            case RolloutFault::VersionChange:
                return m_fleet.setWanted(std::vector { m_successorModel.digest });
            case RolloutFault::Partition: {
                auto region = RolloutFleet::regionName(m_options.regions - 1);
                m_fleet.faults().partitionRegion(region);
                return m_fleet.store().setPartitionedRegions({ region });
            }
            }
        }

        void continueFault(double elapsed)
        {
            if (m_options.fault == RolloutFault::Partition && elapsed >= faultStartFloors + partitionDurationFloors) {
                m_fleet.faults().healPartition();
                m_fleet.store().setPartitionedRegions({});
            }
            if (m_options.fault == RolloutFault::Kill && !m_memberRemoved && m_clock.now() - m_faultBeganAt >= failureDetectionTime) {
                m_memberRemoved = true;
                m_fleet.removeMember(m_faultyReplica);
            }
        }

        unsigned countAlive() const
        {
            unsigned count = 0;
            for (unsigned i = 0; i < m_fleet.size(); ++i)
                count += m_fleet.isAlive(i) ? 1 : 0;
            return count;
        }

        unsigned countComplete()
        {
            unsigned count = 0;
            for (unsigned i = 0; i < m_fleet.size(); ++i)
                count += m_fleet.isAlive(i) && m_fleet.node(i).progress(finalModel().digest).status == Weights::TransferStatus::Complete ? 1 : 0;
            return count;
        }

        double toCopies(uint64_t bytes) const
        {
            return static_cast<double>(bytes) / static_cast<double>(m_model.totalBytes);
        }

        void collect()
        {
            auto seconds = std::chrono::duration<double>(m_clock.now() - m_start).count();
            m_measurement.processorCores = (processorTime() - m_processorBefore).count() / seconds;
            auto roundTrips = m_fleet.roundTrips().summarise();
            m_measurement.holdingsRoundTripP99Ms = roundTrips.p99.count();
            m_measurement.holdingsRoundTripMaxMs = roundTrips.maximum.count();
            m_measurement.peakBytesPerAgent = (residentPeakBytes() - m_memoryBefore) / m_options.replicas;
            m_measurement.originCopies = toCopies(m_fleet.links().originBytes());
            for (auto& [link, bytes] : m_fleet.links().interRegionBytes())
                m_measurement.copiesByLink[link] = toCopies(bytes);
            for (unsigned i = 0; i < m_options.regions; ++i)
                m_measurement.interRegionCopies = std::max(m_measurement.interRegionCopies, toCopies(m_fleet.links().bytesInto(RolloutFleet::regionName(i))));
            uint64_t controlBytes = 0;
            uint64_t holdingsRequests = 0;
            uint64_t chunkRequests = 0;
            uint64_t busyRefusals = 0;
            for (unsigned i = 0; i < m_fleet.size(); ++i) {
                auto& counters = m_fleet.node(i).counters();
                m_measurement.corruptChunks += counters.corruptChunks;
                m_measurement.stalledDownloads += counters.stalledDownloads;
                m_measurement.failedDownloads += counters.failedDownloads;
                controlBytes += counters.controlBytes;
                holdingsRequests += counters.holdingsRequests;
                chunkRequests += counters.chunkRequests;
                busyRefusals += counters.busyRefusals;
                if (m_fleet.isAlive(i) && !m_fleet.holdsExactly(i, finalModel()))
                    ++m_measurement.wrongReplicas;
            }
            auto perSecondAndAgent = [&](uint64_t count) { return static_cast<double>(count) / seconds / m_options.replicas; };
            m_measurement.controlBytesPerSecond = perSecondAndAgent(controlBytes);
            m_measurement.holdingsRequestsPerSecond = perSecondAndAgent(holdingsRequests);
            m_measurement.chunkRequestsPerSecond = perSecondAndAgent(chunkRequests);
            m_measurement.refusedShare = chunkRequests ? static_cast<double>(busyRefusals) / static_cast<double>(chunkRequests) : 0;
        }

        RolloutOptions m_options;
        Model m_model;
        Model m_successorModel;
        uint64_t m_memoryBefore;
        RolloutFleet m_fleet;
        Base::SystemClock m_clock;
        Base::TimePoint m_start;
        std::chrono::duration<double> m_processorBefore { 0 };
        Base::TimePoint m_faultBeganAt;
        unsigned m_faultyReplica = 0;
        bool m_faultBegan = false;
        bool m_memberRemoved = false;
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
