#include "Bench/FaultyWeightsPeerClient.h"

#include <algorithm>
#include <atomic>

namespace Lavenderloft::Bench {

namespace {

    using EndResult = Base::Result<Base::Done, Weights::WeightError>;

    // Forwards a chunk and applies the faults planned for its sender.
    class FaultySink final : public Weights::ChunkSink {
    public:
        FaultySink(std::shared_ptr<Weights::ChunkSink> sink, std::shared_ptr<const FaultPlan> plan, std::string vm)
            : m_sink(std::move(sink))
            , m_plan(std::move(plan))
            , m_vm(std::move(vm))
        {
        }

        void part(std::string_view bytes) override
        {
            if (m_plan->isStalled(m_vm))
                return;
            if (!m_plan->isCorrupt(m_vm) || bytes.empty())
                return m_sink->part(bytes);
            std::string damaged(bytes);
            damaged[0] = static_cast<char>(~damaged[0]);
            m_sink->part(damaged);
        }

        void end(const EndResult& result) override
        {
            // A stalled stream ends only by cancellation.
            if (!m_plan->isStalled(m_vm))
                forward(result);
        }

        void cancelled()
        {
            if (m_plan->isStalled(m_vm))
                forward(Weights::WeightError { Weights::WeightErrorKind::Cancelled, "cancelled", "" });
        }

    private:
        void forward(const EndResult& result)
        {
            if (!m_ended.exchange(true))
                m_sink->end(result);
        }

        std::shared_ptr<Weights::ChunkSink> m_sink;
        std::shared_ptr<const FaultPlan> m_plan;
        std::string m_vm;
        std::atomic<bool> m_ended { false };
    };

    class FaultyFetch final : public Weights::ChunkFetch {
    public:
        FaultyFetch(std::shared_ptr<Weights::ChunkFetch> fetch, std::shared_ptr<FaultySink> sink)
            : m_fetch(std::move(fetch))
            , m_sink(std::move(sink))
        {
        }

        void cancel() override
        {
            m_fetch->cancel();
            m_sink->cancelled();
        }

    private:
        std::shared_ptr<Weights::ChunkFetch> m_fetch;
        std::shared_ptr<FaultySink> m_sink;
    };

    class NoFetch final : public Weights::ChunkFetch {
    public:
        void cancel() override { }
    };

    Weights::WeightError partitionError()
    {
        return { Weights::WeightErrorKind::Unreachable, "injected fault: the regions are partitioned from each other", "" };
    }

} // namespace

void FaultPlan::corruptChunksFrom(const std::string& vm)
{
    std::lock_guard guard(m_lock);
    m_corrupt.insert(vm);
}

void FaultPlan::stallChunksFrom(const std::string& vm)
{
    std::lock_guard guard(m_lock);
    m_stalled.insert(vm);
}

void FaultPlan::claimAllChunksHeldBy(const std::string& vm)
{
    std::lock_guard guard(m_lock);
    m_claimingAllChunks.insert(vm);
}

void FaultPlan::partitionRegion(const std::string& region)
{
    std::lock_guard guard(m_lock);
    m_partitionedRegion = region;
}

void FaultPlan::healPartition()
{
    partitionRegion("");
}

void FaultPlan::setManifestTransferTime(std::chrono::milliseconds time)
{
    std::lock_guard guard(m_lock);
    m_manifestTransferTime = time;
}

std::chrono::milliseconds FaultPlan::manifestTransferTime() const
{
    std::lock_guard guard(m_lock);
    return m_manifestTransferTime;
}

bool FaultPlan::isCorrupt(const std::string& vm) const
{
    std::lock_guard guard(m_lock);
    return m_corrupt.contains(vm);
}

bool FaultPlan::isStalled(const std::string& vm) const
{
    std::lock_guard guard(m_lock);
    return m_stalled.contains(vm);
}

bool FaultPlan::claimsAllChunksHeld(const std::string& vm) const
{
    std::lock_guard guard(m_lock);
    return m_claimingAllChunks.contains(vm);
}

bool FaultPlan::arePartitioned(const std::string& from, const std::string& to) const
{
    std::lock_guard guard(m_lock);
    return from != to && !m_partitionedRegion.empty() && (from == m_partitionedRegion || to == m_partitionedRegion);
}

FaultyWeightsPeerClient::FaultyWeightsPeerClient(std::shared_ptr<Weights::PeerClient> client, std::shared_ptr<const FaultPlan> plan, std::string ownRegion)
    : m_client(std::move(client))
    , m_plan(std::move(plan))
    , m_ownRegion(std::move(ownRegion))
{
}

void FaultyWeightsPeerClient::getHoldings(const Weights::Participant& peer, const std::string& manifestDigest, Weights::HoldingsCallback callback)
{
    if (m_plan->arePartitioned(m_ownRegion, peer.region))
        return callback(partitionError());
    if (!m_plan->claimsAllChunksHeld(peer.vm))
        return m_client->getHoldings(peer, manifestDigest, std::move(callback));
    m_client->getHoldings(peer, manifestDigest, [callback = std::move(callback)](const Base::Result<Weights::Holdings, Weights::WeightError>& result) {
        if (!Base::succeeded(result))
            return callback(result);
        auto holdings = Base::valueOf(result);
        std::fill(holdings.held.begin(), holdings.held.end(), true);
        callback(holdings);
    });
}

void FaultyWeightsPeerClient::getManifest(const Weights::Participant& peer, const std::string& manifestDigest, std::chrono::milliseconds timeout, Weights::ManifestCallback callback)
{
    if (m_plan->arePartitioned(m_ownRegion, peer.region))
        return callback(partitionError());
    if (timeout < m_plan->manifestTransferTime())
        return callback(Weights::WeightError { Weights::WeightErrorKind::Stalled, "the manifest takes longer than the timeout", "" });
    m_client->getManifest(peer, manifestDigest, timeout, std::move(callback));
}

std::shared_ptr<Weights::ChunkFetch> FaultyWeightsPeerClient::fetchChunk(const Weights::Participant& peer, const Weights::ChunkRequest& request, std::shared_ptr<Weights::ChunkSink> sink)
{
    if (m_plan->arePartitioned(m_ownRegion, peer.region)) {
        sink->end(partitionError());
        return std::make_shared<NoFetch>();
    }
    auto faulty = std::make_shared<FaultySink>(std::move(sink), m_plan, peer.vm);
    return std::make_shared<FaultyFetch>(m_client->fetchChunk(peer, request, faulty), faulty);
}

} // namespace Lavenderloft::Bench
