#include "Staging/ManifestFetcher.h"

#include "Observability/Log.h"
#include "Staging/Events.h"
#include "Staging/ManifestCodec.h"
#include "Staging/Queries/ChooseSource.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds agentTimeout { 1000 };
    // Agents to request a manifest from before the origin is tried again.
    constexpr unsigned agentAttempts = 3;

    void logUnavailable(const std::string& source, const std::string& problem)
    {
        Observability::logEvent(Events::pieceUnavailable, { { "source", source }, { "problem", problem } });
    }

    bool isManifestOf(const PieceManifest& manifest, const DesiredWeights& desired)
    {
        return manifest.model == desired.model && manifest.version == desired.declared.version && manifest.digests.size() == desired.pieces;
    }

} // namespace

ManifestFetcher::ManifestFetcher(const StagingContext& context)
    : m_context(context)
{
}

bool ManifestFetcher::hasFailedRecently() const
{
    return m_failedAt && m_context.clock.now() - *m_failedAt < failureBackoff;
}

asio::awaitable<std::optional<PieceManifest>> ManifestFetcher::fetch(const DesiredWeights& desired)
{
    auto manifest = co_await fetchFromOrigin(desired);
    if (!manifest)
        manifest = co_await fetchFromAnyAgent(desired);
    if (!manifest)
        m_failedAt = m_context.clock.now();
    co_return manifest;
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
    co_return Base::takeValue(std::move(manifest));
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
    if (manifest && isManifestOf(*manifest, desired))
        co_return manifest;
    logUnavailable(address, "response is not a manifest of the declared version");
    co_return std::nullopt;
}

} // namespace Lavenderloft::Staging
