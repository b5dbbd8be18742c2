#include "Staging/ManifestFetcher.h"

#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Staging/Events.h"
#include "Staging/ManifestCodec.h"
#include "Staging/Queries/ChooseSource.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds checkInterval { 50 };
    // Delay after a manifest was not available. Agents try again at different times.
    constexpr std::chrono::milliseconds retryDelay { 150 };
    constexpr unsigned retryDelaySpread = 200;
    constexpr std::chrono::milliseconds agentTimeout { 1000 };
    // Agents to request a manifest from before the origin is tried again.
    constexpr unsigned agentAttempts = 3;

    void logUnavailable(const std::string& source, const std::string& problem)
    {
        Observability::logEvent(Events::pieceUnavailable, { { "source", source }, { "problem", problem } });
    }

    // The response may be corrupted. One with another version in it would let the engine load the pieces of that version.
    bool isManifestOf(const PieceManifest& manifest, const DesiredWeights& desired)
    {
        return manifest.model == desired.model && manifest.version == desired.declared.version && manifest.digests.size() == desired.pieces;
    }

    // Returns the manifest if it is that of the desired weights.
    std::optional<PieceManifest> checked(PieceManifest manifest, const DesiredWeights& desired, const std::string& source)
    {
        if (isManifestOf(manifest, desired))
            return manifest;
        logUnavailable(source, "response is a manifest of " + manifest.model + " version " + std::to_string(manifest.version) + " with " + std::to_string(manifest.digests.size()) + " pieces, not of the declared weights");
        return std::nullopt;
    }

} // namespace

ManifestFetcher::ManifestFetcher(const StagingContext& context, const EngineMonitor& monitor)
    : m_context(context)
    , m_monitor(monitor)
{
}

asio::awaitable<void> ManifestFetcher::run()
{
    while (true) {
        bool isComplete = true;
        for (auto& version : missing()) {
            bool isFetched = co_await fetch(version);
            isComplete = isComplete && isFetched;
        }
        auto delay = isComplete ? checkInterval : retryDelay + std::chrono::milliseconds(m_context.random.nextBelow(retryDelaySpread));
        co_await Http::sleepFor(m_context.loop, delay);
    }
}

// The versions that the engine may have to load, whose manifests are missing or disputed, the newest first.
std::vector<DesiredWeights> ManifestFetcher::missing() const
{
    std::vector<DesiredWeights> versions;
    auto newest = m_context.findNewestWeights();
    auto next = m_monitor.findDesiredWeights();
    if (!m_monitor.report() || !newest || newest->origin.host.empty())
        return versions;
    auto heldVersion = m_monitor.wholeVersion();
    if (newest->declared.version > heldVersion && isWanted(newest->declared.version))
        versions.push_back(*newest);
    if (next->declared.version != newest->declared.version && next->declared.version > heldVersion && isWanted(next->declared.version))
        versions.push_back(*next);
    return versions;
}

bool ManifestFetcher::isWanted(uint64_t version) const
{
    return !find(version) || m_disputed.contains(version);
}

void ManifestFetcher::dispute(uint64_t version)
{
    m_disputed.insert(version);
}

const PieceManifest* ManifestFetcher::find(uint64_t version) const
{
    auto found = m_manifests.find(version);
    return found == m_manifests.end() ? nullptr : &found->second;
}

bool ManifestFetcher::hasFailedRecently(uint64_t version) const
{
    return !find(version) && m_failedAt && m_context.clock.now() - *m_failedAt < failureBackoff;
}

void ManifestFetcher::keep(PieceManifest manifest)
{
    auto version = manifest.version;
    m_disputed.erase(version);
    m_manifests[version] = std::move(manifest);
    if (m_manifests.size() > maximumManifests)
        m_manifests.erase(m_manifests.begin());
}

asio::awaitable<bool> ManifestFetcher::fetch(const DesiredWeights& desired)
{
    auto manifest = co_await fetchFromOrigin(desired);
    if (!manifest)
        manifest = co_await fetchFromAnyAgent(desired);
    if (!manifest) {
        m_failedAt = m_context.clock.now();
        co_return false;
    }
    keep(std::move(*manifest));
    co_return true;
}

asio::awaitable<std::optional<PieceManifest>> ManifestFetcher::fetchFromOrigin(const DesiredWeights& desired)
{
    auto origin = m_context.clientTo(desired.origin);
    auto result = co_await origin.call(m_context.protocol.manifestRequest(desired.model, desired.declared.version), StagingContext::originTimeout);
    if (!Base::succeeded(result)) {
        logUnavailable("origin", Base::errorOf(result).describe());
        co_return std::nullopt;
    }
    auto manifest = m_context.protocol.readManifest(Base::valueOf(result));
    if (!Base::succeeded(manifest)) {
        logUnavailable("origin", Base::errorOf(manifest).describe());
        co_return std::nullopt;
    }
    co_return checked(Base::takeValue(std::move(manifest)), desired, "origin");
}

asio::awaitable<std::optional<PieceManifest>> ManifestFetcher::fetchFromAnyAgent(const DesiredWeights& desired)
{
    auto agents = Queries::listSourceAgents(*m_context.snapshot(), m_context.settings, desired.declared.version);
    for (unsigned i = 0; i < agentAttempts && !agents.empty(); ++i) {
        auto& agent = agents[m_context.random.nextBelow(agents.size())];
        auto manifest = co_await fetchFromAgent(desired, agent.address);
        if (manifest)
            co_return manifest;
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<PieceManifest>> ManifestFetcher::fetchFromAgent(const DesiredWeights& desired, const std::string& address)
{
    auto client = m_context.clientTo({ address, m_context.settings.firstPeerPort });
    Http::HttpRequest request;
    request.target = encodeManifestPath(desired.model, desired.declared.version);
    auto result = co_await client.call(std::move(request), agentTimeout);
    if (!Base::succeeded(result)) {
        logUnavailable(address, Base::errorOf(result).describe());
        co_return std::nullopt;
    }
    auto& response = Base::valueOf(result);
    if (response.status != 200) {
        logUnavailable(address, "status " + std::to_string(response.status));
        co_return std::nullopt;
    }
    auto manifest = decodeManifest(response.body);
    if (manifest)
        co_return checked(std::move(*manifest), desired, address);
    logUnavailable(address, "response is not a manifest");
    co_return std::nullopt;
}

} // namespace Lavenderloft::Staging
