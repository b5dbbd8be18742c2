#include "Weights/SimulatedRollout.h"

#include "Base/Digest.h"
#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Bench/RolloutFleet.h"
#include "Process/TransferDriver.h"
#include "Weights/Commands/TransferCommands.h"
#include "Weights/Commands/UploadCommands.h"
#include "Weights/LimiterChain.h"
#include "Weights/Queries/ChunkQueries.h"
#include "Weights/Queries/DownloadQueries.h"
#include "Weights/Queries/UploadQueries.h"
#include "Weights/TransferLimits.h"

#include <algorithm>
#include <queue>

namespace Lavenderloft::Bench {

namespace {

    using namespace std::chrono_literals;
    using Weights::WeightError;
    using Weights::WeightErrorKind;

    // As in RolloutBenchmark.cpp, in copies of the model per floor.
    constexpr double originCopiesPerFloor = 2;
    constexpr double vmCopiesPerFloor = 1;
    constexpr double interRegionCopiesPerFloor = 2;
    constexpr double faultStartFloors = 0.25;
    constexpr double partitionDurationFloors = 0.5;
    constexpr std::chrono::milliseconds roundInterval = 50ms;
    constexpr std::chrono::milliseconds minimumRoundInterval = 10ms;
    constexpr size_t originPartBytes = 16 * 1024;

    // Runs functions in the order of their times on a manual clock.
    class EventQueue {
    public:
        void runAfter(Base::Duration delay, std::function<void()> function)
        {
            m_events.push({ m_clock.now() + std::max(delay, Base::Duration::zero()), m_count++, std::move(function) });
        }

        // Returns false if the queue reaches the given time before the condition holds.
        bool runUntil(const std::function<bool()>& condition, Base::TimePoint end)
        {
            while (!condition()) {
                if (m_events.empty() || m_events.top().time > end)
                    return false;
                auto event = m_events.top();
                m_events.pop();
                m_clock.advance(event.time - m_clock.now());
                event.function();
            }
            return true;
        }

        const Base::ManualClock& clock() const { return m_clock; }

    private:
        struct Event {
            Base::TimePoint time;
            uint64_t number = 0;
            std::function<void()> function;

            bool operator<(const Event& other) const { return std::pair(time, number) > std::pair(other.time, other.number); }
        };

        Base::ManualClock m_clock;
        std::priority_queue<Event> m_events;
        uint64_t m_count = 0;
    };

    // What all replicas share.
    struct World {
        EventQueue events;
        SimulatedLateness lateness;
        std::shared_ptr<RolloutLinks> links;
        Model model;
        std::vector<Membership::Member> members;
        std::string partitionedRegion;

        void send(std::function<void()> message) { events.runAfter(lateness.messageDelay, std::move(message)); }

        bool isCut(const std::string& from, const std::string& to) const
        {
            return !partitionedRegion.empty() && from != to && (from == partitionedRegion || to == partitionedRegion);
        }
    };

    class View final : public Process::ControlView {
    public:
        View(const World& world, const std::string& vm)
            : m_world(world)
            , m_vm(vm)
        {
        }

        std::shared_ptr<const DesiredState::Document> document() const override { return nullptr; }
        std::vector<Membership::Member> members() const override { return m_world.members; }
        Membership::Member self() const override
        {
            return *std::find_if(m_world.members.begin(), m_world.members.end(), [&](auto& member) { return member.vm == m_vm; });
        }
        bool isSynchronised() const override { return true; }
        void publish(const Membership::TargetLoad&, const std::vector<Membership::Replica>&) override { }
        void publishLeaving() override { }
        void onChange(std::function<void()>) override { }

    private:
        const World& m_world;
        const std::string m_vm;
    };

    // The upload of one chunk; ends its sink once.
    struct Upload final : Weights::ChunkFetch {
        void cancel() override
        {
            isCancelled = true;
            if (onCancel)
                onCancel();
        }

        void end(World& world, const Base::Result<Base::Done, WeightError>& result)
        {
            if (std::exchange(isEnded, true))
                return;
            world.send([sink = sink, result] { sink->end(result); });
        }

        std::shared_ptr<Weights::ChunkSink> sink;
        Weights::ChunkBytes bytes;
        Weights::Receiver receiver;
        size_t offset = 0;
        uint64_t number = 0;
        bool isCancelled = false;
        bool isEnded = false;
        std::function<void()> onCancel;
    };

    WeightError makeError(WeightErrorKind kind)
    {
        return { kind, "simulated", "" };
    }

    // The origin, as RolloutStore.
    class SimulatedOrigin final : public Weights::ChunkSource {
    public:
        SimulatedOrigin(World& world, std::string vm)
            : m_world(world)
            , m_vm(std::move(vm))
        {
        }

        void fetchManifest(const std::string&, Weights::ManifestCallback callback) override
        {
            m_world.send([this, callback = std::move(callback)] {
                if (isCut())
                    return m_world.send([callback] { callback(makeError(WeightErrorKind::Unreachable)); });
                auto delay = m_world.links->reserveFromOrigin(m_vm, m_world.model.document.size(), m_world.events.clock().now());
                m_world.events.runAfter(delay, [this, callback] { m_world.send([this, callback] { callback(m_world.model.document); }); });
            });
        }

        std::shared_ptr<Weights::ChunkFetch> fetchChunk(const std::string& digest, std::shared_ptr<Weights::ChunkSink> sink) override
        {
            auto upload = std::make_shared<Upload>();
            upload->sink = std::move(sink);
            upload->bytes = std::make_shared<const std::string>(m_world.model.chunks.at(digest));
            m_world.send([this, upload] { isCut() ? upload->end(m_world, makeError(WeightErrorKind::Unreachable)) : sendNext(upload); });
            return upload;
        }

    private:
        bool isCut() const { return !m_world.partitionedRegion.empty() && m_world.links->regionOf(m_vm) == m_world.partitionedRegion; }

        void sendNext(const std::shared_ptr<Upload>& upload)
        {
            if (upload->isCancelled)
                return upload->end(m_world, makeError(WeightErrorKind::Cancelled));
            if (upload->offset >= upload->bytes->size())
                return upload->end(m_world, Base::Done {});
            auto count = std::min(originPartBytes, upload->bytes->size() - upload->offset);
            auto offset = std::exchange(upload->offset, upload->offset + count);
            auto delay = m_world.links->reserveFromOrigin(m_vm, count, m_world.events.clock().now());
            m_world.events.runAfter(delay, [this, upload, offset, count] {
                m_world.send([upload, offset, count] { upload->sink->part(std::string_view(*upload->bytes).substr(offset, count)); });
                sendNext(upload);
            });
        }

        World& m_world;
        const std::string m_vm;
    };

    // A replica: the state, the decisions and the limits of the product, as composed by WeightNode.
    class SimulatedReplica {
    public:
        SimulatedReplica(World& world, const RolloutOptions& options, const LinkRates& rates, unsigned index, std::shared_ptr<Weights::PeerClient> peers)
            : m_world(world)
            , m_self { RolloutFleet::vmName(index), "", world.members[index].dataCentre, world.members[index].region }
            , m_view(world, m_self.vm)
            , m_runtime(std::make_shared<Process::WeightRuntime>(1ull << 30, world.events.clock(), std::make_shared<Observability::Metrics>()))
            , m_interRegion(std::make_shared<Weights::InterRegionLimiter>(m_self.region, rates.interRegion * Settings::ProcessSettings {}.rolloutShareOfLink))
            , m_limiter({ m_interRegion, std::make_shared<VmLinkLimiter>(world.links, m_self.vm) })
            , m_driver({ m_runtime, std::move(peers), std::make_shared<SimulatedOrigin>(world, m_self.vm), m_interRegion, std::make_shared<Base::SeededRandom>(options.seed * 1000 + index), m_view, m_self, RolloutFleet::regionName(0) })
        {
            // The threads of the replicas don't run in step.
            auto phase = std::chrono::microseconds(Base::SeededRandom(options.seed * 7919 + index).nextBelow(minimumRoundInterval / 1us));
            m_world.events.runAfter(phase, [this] { runRounds(); });
        }

        void want(const std::string& digest) { Weights::Commands::beginTransfer(state().transfers, digest, 100, now()); }

        Weights::Holdings holdings(const std::string& digest) const
        {
            auto held = Weights::Queries::heldChunks(state().transfers, digest);
            bool isKnown = !held.empty();
            return { isKnown, std::move(held), Weights::Queries::assignedChunks(state().downloads, digest), Weights::Queries::freeUploadSlots(state().uploads), Weights::Queries::slotExpectedIn(state().uploads) };
        }

        std::shared_ptr<const std::string> document(const std::string& digest) const { return Weights::Queries::documentOf(state().transfers, digest); }

        // Serves a chunk as WeightServiceServer does.
        void serve(const std::shared_ptr<Upload>& upload, const Weights::ChunkRequest& request)
        {
            upload->bytes = Weights::Queries::findChunk(state().chunks, request.chunkDigest);
            if (!upload->bytes)
                return upload->end(m_world, makeError(WeightErrorKind::NotHeld));
            upload->number = ++m_lastUploadNumber;
            auto& receiver = upload->receiver;
            auto queued = Weights::Commands::enqueueUpload(state().uploads, upload->number, { receiver.vm, receiver.region, receiver.region != m_self.region, request.priority, upload->bytes->size(), now(), false });
            if (!Base::succeeded(queued))
                return upload->end(m_world, Base::errorOf(queued));
            m_uploads[upload->number] = upload;
            startUploads();
        }

        void cancelQueued(const std::shared_ptr<Upload>& upload)
        {
            if (m_uploads.contains(upload->number) && !Weights::Queries::findUpload(state().uploads, upload->number).started)
                finish(upload, makeError(WeightErrorKind::Cancelled));
        }

        bool isComplete(const std::string& digest) const { return Weights::Queries::transferProgress(state().transfers, digest).status == Weights::TransferStatus::Complete; }

        bool holdsExactly(const Model& model) const
        {
            return isComplete(model.digest) && std::all_of(model.chunks.begin(), model.chunks.end(), [&](auto& chunk) {
                auto bytes = Weights::Queries::findChunk(state().chunks, chunk.first);
                return bytes && Base::sha256(*bytes) == chunk.first;
            });
        }

        Weights::WeightState& state() const { return *m_runtime->state; }
        const Weights::Participant& self() const { return m_self; }

    private:
        Base::TimePoint now() const { return m_world.events.clock().now(); }

        // A round at the interval of WeightNode; earlier after an event.
        void runRounds()
        {
            if (m_runtime->awake || now() - m_lastRound >= roundInterval) {
                m_runtime->awake = false;
                m_lastRound = now();
                m_driver.run();
                for (auto number : Weights::Queries::overdueUploads(state().uploads, now()))
                    finish(m_uploads.at(number), makeError(WeightErrorKind::Busy));
                startUploads();
            }
            m_world.events.runAfter(minimumRoundInterval + m_world.lateness.roundDelay, [this] { runRounds(); });
        }

        void startUploads()
        {
            while (true) {
                auto numbers = Weights::Queries::uploadsToStart(state().uploads, m_limiter, now());
                if (numbers.empty())
                    return;
                for (auto number : numbers)
                    start(m_uploads.at(number));
            }
        }

        void start(const std::shared_ptr<Upload>& upload)
        {
            if (!Base::succeeded(Weights::Commands::startUpload(state().uploads, upload->number, now())))
                return;
            m_limiter.accountUpload(upload->receiver.region, upload->bytes->size(), now());
            sendNext(upload);
        }

        void sendNext(const std::shared_ptr<Upload>& upload)
        {
            if (upload->isCancelled)
                return finish(upload, makeError(WeightErrorKind::Cancelled));
            if (upload->offset >= upload->bytes->size())
                return finish(upload, Base::Done {});
            auto part = std::clamp(upload->bytes->size() / Weights::partsPerChunk, Weights::minimumPartBytes, Weights::maximumPartBytes);
            auto count = std::min(part, upload->bytes->size() - upload->offset);
            auto offset = std::exchange(upload->offset, upload->offset + count);
            auto delay = m_limiter.partDelay(upload->receiver, count, now());
            m_world.events.runAfter(delay, [this, upload, offset, count] {
                m_world.send([upload, offset, count] { upload->sink->part(std::string_view(*upload->bytes).substr(offset, count)); });
                sendNext(upload);
            });
        }

        void finish(const std::shared_ptr<Upload>& upload, const Base::Result<Base::Done, WeightError>& result)
        {
            Weights::Commands::endUpload(state().uploads, upload->number, now());
            m_uploads.erase(upload->number);
            upload->end(m_world, result);
            // Not at once, because the caller may be starting uploads.
            m_world.events.runAfter(0ms, [this] { startUploads(); });
        }

        World& m_world;
        Weights::Participant m_self;
        View m_view;
        std::shared_ptr<Process::WeightRuntime> m_runtime;
        std::shared_ptr<Weights::InterRegionLimiter> m_interRegion;
        Weights::LimiterChain m_limiter;
        Process::TransferDriver m_driver;
        Base::TimePoint m_lastRound;
        uint64_t m_lastUploadNumber = 0;
        std::map<uint64_t, std::shared_ptr<Upload>> m_uploads;
    };

    using Replicas = std::map<std::string, std::unique_ptr<SimulatedReplica>>;

    // Calls of one replica to the others. A partition fails new calls only.
    class SimulatedPeerClient final : public Weights::PeerClient {
    public:
        SimulatedPeerClient(World& world, Replicas& replicas, Weights::Receiver self)
            : m_world(world)
            , m_replicas(replicas)
            , m_self(std::move(self))
        {
        }

        void getHoldings(const Weights::Participant& peer, const std::string& digest, Weights::HoldingsCallback callback) override
        {
            if (m_world.isCut(m_self.region, peer.region))
                return m_world.send([callback] { callback(makeError(WeightErrorKind::Unreachable)); });
            m_world.send([this, vm = peer.vm, digest, callback] {
                auto holdings = m_replicas.at(vm)->holdings(digest);
                m_world.send([callback, holdings] { callback(holdings); });
            });
        }

        void getManifest(const Weights::Participant& peer, const std::string& digest, std::chrono::milliseconds, Weights::ManifestCallback callback) override
        {
            if (m_world.isCut(m_self.region, peer.region))
                return m_world.send([callback] { callback(makeError(WeightErrorKind::Unreachable)); });
            m_world.send([this, vm = peer.vm, digest, callback] {
                auto document = m_replicas.at(vm)->document(digest);
                m_world.send([callback, document] {
                    if (document)
                        callback(*document);
                    else
                        callback(makeError(WeightErrorKind::NotHeld));
                });
            });
        }

        std::shared_ptr<Weights::ChunkFetch> fetchChunk(const Weights::Participant& peer, const Weights::ChunkRequest& request, std::shared_ptr<Weights::ChunkSink> sink) override
        {
            auto upload = std::make_shared<Upload>();
            upload->sink = std::move(sink);
            upload->receiver = m_self;
            if (m_world.isCut(m_self.region, peer.region)) {
                upload->end(m_world, makeError(WeightErrorKind::Unreachable));
                return upload;
            }
            auto* sender = m_replicas.at(peer.vm).get();
            upload->onCancel = [this, sender, weak = std::weak_ptr(upload)] {
                m_world.send([sender, weak] {
                    if (auto cancelled = weak.lock())
                        sender->cancelQueued(cancelled);
                });
            };
            m_world.send([sender, upload, request] { sender->serve(upload, request); });
            return upload;
        }

    private:
        World& m_world;
        Replicas& m_replicas;
        Weights::Receiver m_self;
    };

    class Simulation {
    public:
        Simulation(const RolloutOptions& options, const SimulatedLateness& lateness)
            : m_options(options)
        {
            m_world.lateness = lateness;
            m_world.model = makeModel({ "1", options.chunkCount, options.chunkBytes, options.seed, 2 });
            FleetShape shape { .replicas = options.replicas, .regions = options.regions, .rates = linkRates(), .seed = options.seed };
            m_world.links = RolloutFleet::makeLinks(shape);
            for (unsigned i = 0; i < options.replicas; ++i)
                addMember(i);
            for (unsigned i = 0; i < options.replicas; ++i) {
                auto& member = m_world.members[i];
                auto peers = std::make_shared<SimulatedPeerClient>(m_world, m_replicas, Weights::Receiver { member.vm, member.region });
                m_replicas[member.vm] = std::make_unique<SimulatedReplica>(m_world, options, shape.rates, i, peers);
            }
        }

        RolloutMeasurement run()
        {
            auto start = m_world.events.clock().now();
            for (auto& [vm, replica] : m_replicas)
                replica->want(m_world.model.digest);
            if (m_options.fault == RolloutFault::Partition)
                scheduleFault();
            RolloutMeasurement measurement;
            measurement.complete = m_world.events.runUntil([&] { return isComplete(); }, start + m_options.limit);
            measurement.timeInFloors = std::chrono::duration<double>(m_world.events.clock().now() - start) / std::chrono::duration<double>(m_options.floor);
            collect(measurement);
            return measurement;
        }

    private:
        LinkRates linkRates() const
        {
            auto rate = static_cast<double>(m_world.model.totalBytes) / std::chrono::duration<double>(m_options.floor).count();
            return { rate * originCopiesPerFloor, rate * vmCopiesPerFloor, rate * interRegionCopiesPerFloor };
        }

        void addMember(unsigned index)
        {
            Membership::Member member;
            member.vm = RolloutFleet::vmName(index);
            member.region = RolloutFleet::regionName(index % m_options.regions);
            member.dataCentre = member.region + "-0";
            member.role = Membership::Role::Agent;
            member.replicas.emplace_back();
            member.replicas.back().wantedDigest = m_world.model.digest;
            m_world.members.push_back(std::move(member));
        }

        void scheduleFault()
        {
            auto floors = [&](double count) { return std::chrono::duration_cast<Base::Duration>(count * std::chrono::duration<double>(m_options.floor)); };
            m_world.events.runAfter(floors(faultStartFloors), [this] { m_world.partitionedRegion = RolloutFleet::regionName(m_options.regions - 1); });
            m_world.events.runAfter(floors(faultStartFloors + partitionDurationFloors), [this] { m_world.partitionedRegion.clear(); });
        }

        bool isComplete() const
        {
            return std::all_of(m_replicas.begin(), m_replicas.end(), [&](auto& entry) { return entry.second->isComplete(m_world.model.digest); });
        }

        double toCopies(uint64_t bytes) const { return static_cast<double>(bytes) / static_cast<double>(m_world.model.totalBytes); }

        void collect(RolloutMeasurement& measurement) const
        {
            measurement.originCopies = toCopies(m_world.links->originBytes());
            for (unsigned i = 0; i < m_options.regions; ++i)
                measurement.interRegionCopies = std::max(measurement.interRegionCopies, toCopies(m_world.links->bytesInto(RolloutFleet::regionName(i))));
            for (auto& [vm, replica] : m_replicas) {
                measurement.wrongReplicas += replica->holdsExactly(m_world.model) ? 0 : 1;
                measurement.stalledDownloads += replica->state().counters.stalledDownloads;
                measurement.failedDownloads += replica->state().counters.failedDownloads;
                measurement.corruptChunks += replica->state().counters.corruptChunks;
            }
        }

        const RolloutOptions m_options;
        World m_world;
        Replicas m_replicas;
    };

} // namespace

RolloutMeasurement simulateRollout(const RolloutOptions& options, const SimulatedLateness& lateness)
{
    return Simulation(options, lateness).run();
}

} // namespace Lavenderloft::Bench
