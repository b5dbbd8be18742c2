#include "Process/WeightNode.h"

#include "Base/SeededRandom.h"
#include "Http/HttpChunkSource.h"
#include "Observability/Log.h"
#include "Process/TransferDriver.h"
#include "Transport/WeightServiceClient.h"
#include "Transport/WeightServiceServer.h"
#include "Weights/Commands/PeerCommands.h"
#include "Weights/Commands/TransferCommands.h"
#include "Weights/Events.h"
#include "Weights/LimiterChain.h"
#include "Weights/Queries/ChunkQueries.h"
#include "Weights/TransferLimits.h"

#include <algorithm>
#include <thread>

namespace Lavenderloft::Process {

namespace Commands = Weights::Commands;
namespace Queries = Weights::Queries;

namespace {

    constexpr double bitsPerByte = 8;
    // Maximum and minimum interval between two rounds of the driver. Without the minimum, each of the many events of
    // a transfer would cause a round.
    constexpr std::chrono::milliseconds roundInterval { 50 };
    constexpr std::chrono::milliseconds minimumRoundInterval { 10 };

} // namespace

class WeightNode::Implementation {
public:
    Implementation(std::shared_ptr<WeightRuntime> runtime, TransferDriver::Dependencies dependencies, std::shared_ptr<Weights::LinkLimiter> uploadLimiter, const std::string& ownRegion)
        : m_runtime(std::move(runtime))
        , m_service(m_runtime->state, std::move(uploadLimiter), m_runtime->clock, ownRegion)
        , m_driver(std::move(dependencies))
    {
    }

    ~Implementation() { stop(); }

    void setWanted(const std::vector<Weights::WantedManifest>& wanted)
    {
        std::lock_guard guard(m_wantedLock);
        auto& state = *m_runtime->state;
        bool withdrawn = false;
        for (auto& digest : Queries::transferDigests(state.transfers)) {
            if (std::any_of(wanted.begin(), wanted.end(), [&](auto& manifest) { return manifest.digest == digest; }))
                continue;
            withdraw(digest);
            withdrawn = true;
        }
        if (withdrawn)
            Commands::restartFailedTransfers(state.transfers, m_runtime->clock.now());
        auto known = Queries::transferDigests(state.transfers);
        for (auto& manifest : wanted) {
            if (std::find(known.begin(), known.end(), manifest.digest) == known.end())
                Observability::logEvent(Weights::transferBegan, { { "manifest", manifest.digest }, { "priority", manifest.priority } });
            Commands::beginTransfer(state.transfers, manifest.digest, manifest.priority, m_runtime->clock.now());
        }
        releaseRetired();
        m_runtime->wake();
    }

    void start()
    {
        m_thread = std::thread([this] { runRounds(); });
    }

    void stop()
    {
        {
            std::lock_guard guard(m_runtime->lock);
            m_runtime->stopping = true;
        }
        m_runtime->wake();
        if (!m_thread.joinable())
            return;
        m_thread.join();
        m_driver.cancelAll();
        waitForDownloads();
    }

    WeightRuntime& runtime() { return *m_runtime; }
    Transport::WeightServiceServer& service() { return m_service; }

private:
    void withdraw(const std::string& digest)
    {
        auto& state = *m_runtime->state;
        Commands::withdrawTransfer(state.transfers, digest, m_runtime->clock.now());
        Commands::removeTransferProgress(state.peers, digest);
        for (auto& download : Queries::downloadsOf(state.downloads, digest)) {
            if (download.fetch)
                download.fetch->cancel();
        }
        Observability::logEvent(Weights::transferWithdrawn, { { "manifest", digest } });
    }

    void releaseRetired()
    {
        auto& state = *m_runtime->state;
        Commands::releaseRetired(state.transfers, state.chunks, m_runtime->clock.now() - Weights::retiredChunkRetention);
    }

    // Waits for the cancelled downloads to end, because their callbacks use the clock.
    void waitForDownloads()
    {
        std::unique_lock guard(m_runtime->lock);
        m_runtime->condition.wait_for(guard, Weights::peerCallTimeout, [&] { return !m_runtime->state->downloads.downloads.size(); });
    }

    void runRounds()
    {
        std::unique_lock guard(m_runtime->lock);
        while (!m_runtime->stopping) {
            m_runtime->condition.wait_for(guard, minimumRoundInterval, [&] { return m_runtime->stopping; });
            m_runtime->condition.wait_for(guard, roundInterval - minimumRoundInterval, [&] { return m_runtime->awake || m_runtime->stopping; });
            m_runtime->awake = false;
            guard.unlock();
            m_driver.run();
            releaseRetired();
            m_service.processUploadQueue();
            guard.lock();
        }
    }

    std::shared_ptr<WeightRuntime> m_runtime;
    Transport::WeightServiceServer m_service;
    TransferDriver m_driver;
    std::mutex m_wantedLock;
    std::thread m_thread;
};

WeightNode::WeightNode(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

WeightNode::~WeightNode() = default;

void WeightNode::setWanted(const std::vector<Weights::WantedManifest>& wanted)
{
    m_implementation->setWanted(wanted);
}

Weights::TransferProgress WeightNode::progress(const std::string& manifestDigest) const
{
    return Queries::transferProgress(m_implementation->runtime().state->transfers, manifestDigest);
}

std::shared_ptr<const std::string> WeightNode::chunk(const std::string& manifestDigest, unsigned index) const
{
    auto& state = *m_implementation->runtime().state;
    auto manifest = Queries::manifestOf(state.transfers, manifestDigest);
    if (!manifest || index >= manifest->chunks.size())
        return nullptr;
    return Queries::findChunk(state.chunks, manifest->chunks[index].digest);
}

std::shared_ptr<const std::string> WeightNode::manifestBytes(const std::string& manifestDigest) const
{
    return Queries::documentOf(m_implementation->runtime().state->transfers, manifestDigest);
}

grpc::Service& WeightNode::service()
{
    return m_implementation->service().service();
}

void WeightNode::start()
{
    m_implementation->start();
}

void WeightNode::stop()
{
    m_implementation->stop();
}

const Weights::WeightCounters& WeightNode::counters() const
{
    return m_implementation->runtime().state->counters;
}

uint64_t WeightNode::heldBytes() const
{
    return Queries::heldBytes(m_implementation->runtime().state->chunks);
}

WeightNodeBuilder::WeightNodeBuilder(const Settings::ProcessSettings& settings, ControlView& control, const Base::Clock& clock)
    : m_settings(settings)
    , m_control(control)
    , m_clock(clock)
{
}

WeightNodeBuilder& WeightNodeBuilder::withMetrics(std::shared_ptr<Observability::Metrics> metrics)
{
    m_metrics = std::move(metrics);
    return *this;
}

WeightNodeBuilder& WeightNodeBuilder::withRandom(std::shared_ptr<Base::RandomSource> random)
{
    m_random = std::move(random);
    return *this;
}

WeightNodeBuilder& WeightNodeBuilder::withCredentials(Transport::SharedCredentials credentials)
{
    m_credentials = std::move(credentials);
    return *this;
}

WeightNodeBuilder& WeightNodeBuilder::withLinkLimiter(std::shared_ptr<Weights::LinkLimiter> limiter)
{
    m_linkLimiter = std::move(limiter);
    return *this;
}

WeightNodeBuilder& WeightNodeBuilder::withPeerClient(std::function<std::shared_ptr<Weights::PeerClient>(std::shared_ptr<Weights::PeerClient>)> wrap)
{
    m_wrapPeerClient = std::move(wrap);
    return *this;
}

Base::Result<std::unique_ptr<WeightNode>, Weights::WeightError> WeightNodeBuilder::build()
{
    auto store = Http::parseEndpoint(m_settings.weightStore);
    if (!Base::succeeded(store))
        return Weights::WeightError { Weights::WeightErrorKind::Unreachable, "setting \"weightStore\": \"" + m_settings.weightStore + "\" is not an address", "use the form IP:port" };
    if (!m_credentials) {
        auto credentials = Transport::makeCredentials(m_settings);
        if (!Base::succeeded(credentials))
            return Weights::WeightError { Weights::WeightErrorKind::Unreachable, Base::errorOf(credentials).message, Base::errorOf(credentials).remedy };
        m_credentials = Base::takeValue(std::move(credentials));
    }
    auto runtime = std::make_shared<WeightRuntime>(m_settings.weightMemoryBytes, m_clock, m_metrics ? m_metrics : std::make_shared<Observability::Metrics>());
    Weights::Participant self { m_settings.vm, m_settings.inner, m_settings.dataCentre, m_settings.region };
    std::shared_ptr<Weights::PeerClient> peers = std::make_shared<Transport::WeightServiceClient>(self, runtime->state, m_credentials);
    if (m_wrapPeerClient)
        peers = m_wrapPeerClient(peers);
    auto shareRate = static_cast<double>(m_settings.interRegionLinkBitsPerSecond) / bitsPerByte * m_settings.rolloutShareOfLink;
    auto interRegion = std::make_shared<Weights::InterRegionLimiter>(m_settings.region, shareRate);
    std::vector<std::shared_ptr<Weights::LinkLimiter>> limiters { interRegion };
    if (m_linkLimiter)
        limiters.push_back(m_linkLimiter);
    TransferDriver::Dependencies dependencies {
        runtime,
        peers,
        std::make_shared<Http::HttpChunkSource>(Base::valueOf(store), m_settings.vm),
        interRegion,
        m_random ? m_random : std::make_shared<Base::SeededRandom>(Base::SeededRandom::fromDevice()),
        m_control,
        self,
        m_settings.weightStoreRegion,
    };
    auto limiter = std::make_shared<Weights::LimiterChain>(std::move(limiters));
    auto implementation = std::make_unique<WeightNode::Implementation>(runtime, std::move(dependencies), limiter, self.region);
    return std::unique_ptr<WeightNode>(new WeightNode(std::move(implementation)));
}

} // namespace Lavenderloft::Process
