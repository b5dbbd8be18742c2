#include "Bench/RolloutFleet.h"

#include "Base/Digest.h"
#include "Base/SeededRandom.h"

#include <algorithm>
#include <condition_variable>
#include <grpcpp/grpcpp.h>

namespace Lavenderloft::Bench {

namespace {

    constexpr auto storeRegion = 0u;
    constexpr std::chrono::milliseconds pollInterval { 10 };

} // namespace

// The membership that all replicas share.
struct RolloutFleet::Members {
    std::mutex lock;
    std::vector<Membership::Member> members;
    std::vector<std::function<void()>> callbacks;

    void update(const std::function<void(std::vector<Membership::Member>&)>& apply)
    {
        std::vector<std::function<void()>> toCall;
        {
            std::lock_guard guard(lock);
            apply(members);
            toCall = callbacks;
        }
        for (auto& callback : toCall)
            callback();
    }
};

struct RolloutFleet::Replica {
    // The replica's view of the control plane; an isolated replica sees itself only.
    class View final : public Process::ControlView {
    public:
        View(std::shared_ptr<Members> members, Membership::Member self, bool isolated)
            : m_members(std::move(members))
            , m_self(std::move(self))
            , m_isolated(isolated)
        {
        }

        std::shared_ptr<const DesiredState::Document> document() const override { return nullptr; }

        std::vector<Membership::Member> members() const override
        {
            std::lock_guard guard(m_members->lock);
            return m_isolated ? std::vector { m_self } : m_members->members;
        }

        Membership::Member self() const override { return m_self; }
        bool isSynchronised() const override { return true; }
        void publish(const Membership::TargetLoad&, const std::vector<Membership::Replica>&) override { }
        void publishLeaving() override { }

        void onChange(std::function<void()> callback) override
        {
            std::lock_guard guard(m_members->lock);
            m_members->callbacks.push_back(std::move(callback));
        }

    private:
        std::shared_ptr<Members> m_members;
        Membership::Member m_self;
        bool m_isolated;
    };

    Membership::Member member;
    std::unique_ptr<View> view;
    std::unique_ptr<Process::WeightNode> node;
    std::unique_ptr<grpc::Server> server;
    bool alive = true;
};

RolloutFleet::RolloutFleet(const FleetShape& shape)
    : m_links(makeLinks(shape))
    , m_faults(std::make_shared<FaultPlan>())
    , m_roundTrips(std::make_shared<RolloutRoundTrips>())
    , m_members(std::make_shared<Members>())
    , m_store(std::make_unique<RolloutStore>(m_links, m_clock))
{
    for (unsigned i = 0; i < shape.replicas; ++i)
        addReplica(shape, i, m_store->address());
}

RolloutFleet::RolloutFleet(const FleetShape& shape, const FleetPart& part)
    : m_links(part.links)
    , m_faults(std::make_shared<FaultPlan>())
    , m_roundTrips(std::make_shared<RolloutRoundTrips>())
    , m_members(std::make_shared<Members>())
{
    for (unsigned i = 0; i < part.replicas; ++i)
        addReplica(shape, part.firstReplica + i, part.storeAddress);
}

RolloutFleet::~RolloutFleet()
{
    for (unsigned i = 0; i < size(); ++i)
        kill(i);
}

std::shared_ptr<RolloutLinks> RolloutFleet::makeLinks(const FleetShape& shape)
{
    std::vector<LinkedVm> vms;
    for (unsigned i = 0; i < shape.replicas; ++i)
        vms.push_back({ vmName(i), regionName(i % shape.regions) });
    return std::make_shared<RolloutLinks>(shape.rates, regionName(storeRegion), vms);
}

void RolloutFleet::addReplica(const FleetShape& shape, unsigned index, const std::string& storeAddress)
{
    auto replica = std::make_unique<Replica>();
    auto& member = replica->member;
    member.vm = vmName(index);
    member.region = regionName(index % shape.regions);
    member.dataCentre = member.region + "-" + std::to_string(index / shape.regions % shape.dataCentresPerRegion);
    member.role = Membership::Role::Agent;

    replica->view = std::make_unique<Replica::View>(m_members, member, shape.originOnly);

    Settings::ProcessSettings settings;
    settings.vm = member.vm;
    settings.region = member.region;
    settings.dataCentre = member.dataCentre;
    settings.weightStore = storeAddress;
    settings.plainTextOnLoopback = true;
    settings.weightStoreRegion = shape.originOnly ? member.region : regionName(storeRegion);
    settings.weightMemoryBytes = shape.weightMemoryBytes;
    constexpr double bitsPerByte = 8;
    settings.interRegionLinkBitsPerSecond = static_cast<uint64_t>(shape.rates.interRegion * bitsPerByte);

    auto built = Process::WeightNodeBuilder(settings, *replica->view, m_clock)
                     .withRandom(std::make_shared<Base::SeededRandom>(shape.seed * 1000 + index))
                     .withLinkLimiter(std::make_shared<VmLinkLimiter>(m_links, member.vm))
                     .withPeerClient([this, region = member.region](std::shared_ptr<Weights::PeerClient> client) {
                         auto timed = std::make_shared<TimingPeerClient>(std::move(client), m_roundTrips, m_clock);
                         return std::make_shared<FaultyWeightsPeerClient>(std::move(timed), m_faults, region);
                     })
                     .build();
    replica->node = Base::takeValue(std::move(built));
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    // Less than the receivers' keep-alive interval of two seconds, so that the server accepts their pings.
    constexpr int minimumPingIntervalMs = 1000;
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, minimumPingIntervalMs);
    builder.RegisterService(&replica->node->service());
    replica->server = builder.BuildAndStart();
    member.address = "127.0.0.1:" + std::to_string(port);
    replica->node->start();
    m_members->update([&](auto& members) { members.push_back(member); });
    m_replicas.push_back(std::move(replica));
}

void RolloutFleet::addModel(const Model& model)
{
    m_store->addModel(model);
}

void RolloutFleet::setWanted(const std::vector<std::string>& digests)
{
    std::vector<Weights::WantedManifest> wanted;
    for (auto& digest : digests)
        wanted.push_back({ digest });
    setWanted(wanted);
}

void RolloutFleet::setWanted(const std::vector<Weights::WantedManifest>& wanted)
{
    // The membership is updated first, so that no replica starts with a view in which it is the only member.
    publishWanted(std::nullopt, wanted);
    for (auto& replica : m_replicas) {
        if (replica->alive)
            replica->node->setWanted(wanted);
    }
}

void RolloutFleet::setWantedAt(unsigned replica, const std::vector<Weights::WantedManifest>& wanted)
{
    publishWanted(vm(replica), wanted);
    node(replica).setWanted(wanted);
}

void RolloutFleet::publishWanted(const std::optional<std::string>& vm, const std::vector<Weights::WantedManifest>& wanted)
{
    m_members->update([&](auto& members) {
        for (auto& member : members) {
            if (vm && member.vm != *vm)
                continue;
            member.replicas.clear();
            for (auto& manifest : wanted) {
                member.replicas.emplace_back();
                member.replicas.back().wantedDigest = manifest.digest;
            }
        }
    });
}

bool RolloutFleet::waitUntilComplete(const std::string& digest, std::chrono::milliseconds limit)
{
    return waitUntil([&] {
        return std::all_of(m_replicas.begin(), m_replicas.end(), [&](auto& replica) {
            return !replica->alive || replica->node->progress(digest).status == Weights::TransferStatus::Complete;
        });
    },
        limit);
}

bool RolloutFleet::waitUntil(const std::function<bool()>& predicate, std::chrono::milliseconds limit)
{
    std::mutex lock;
    std::condition_variable condition;
    std::unique_lock guard(lock);
    auto end = m_clock.now() + limit;
    while (!predicate()) {
        if (m_clock.now() >= end)
            return false;
        condition.wait_for(guard, pollInterval);
    }
    return true;
}

void RolloutFleet::kill(unsigned index)
{
    auto& replica = *m_replicas[index];
    if (!replica.alive)
        return;
    replica.alive = false;
    replica.node->stop();
    replica.server->Shutdown(std::chrono::system_clock::now());
    replica.server->Wait();
    replica.node->setWanted({});
}

void RolloutFleet::removeMember(unsigned index)
{
    removeMember(vm(index));
}

void RolloutFleet::removeMember(const std::string& vm)
{
    m_members->update([&](auto& members) {
        std::erase_if(members, [&](auto& member) { return member.vm == vm; });
    });
}

void RolloutFleet::addMembers(const std::vector<Membership::Member>& added)
{
    m_members->update([&](auto& members) { members.insert(members.end(), added.begin(), added.end()); });
}

const Membership::Member& RolloutFleet::member(unsigned replica) const
{
    return m_replicas[replica]->member;
}

unsigned RolloutFleet::size() const
{
    return static_cast<unsigned>(m_replicas.size());
}

bool RolloutFleet::isAlive(unsigned replica) const
{
    return m_replicas[replica]->alive;
}

Process::WeightNode& RolloutFleet::node(unsigned replica)
{
    return *m_replicas[replica]->node;
}

std::string RolloutFleet::vm(unsigned replica) const
{
    return m_replicas[replica]->member.vm;
}

std::string RolloutFleet::region(unsigned replica) const
{
    return m_replicas[replica]->member.region;
}

std::string RolloutFleet::vmName(unsigned index)
{
    return "vm-" + std::to_string(index);
}

std::string RolloutFleet::regionName(unsigned index)
{
    return "region-" + std::to_string(index);
}

bool RolloutFleet::holdsExactly(unsigned replica, const Model& model)
{
    auto progress = node(replica).progress(model.digest);
    if (progress.status != Weights::TransferStatus::Complete)
        return false;
    for (unsigned i = 0; i < progress.chunksTotal; ++i) {
        auto chunk = node(replica).chunk(model.digest, i);
        if (!chunk || !model.chunks.contains(Base::sha256(*chunk)))
            return false;
    }
    return true;
}

} // namespace Lavenderloft::Bench
