#pragma once

#include "Base/AdaptiveTimeout.h"
#include "Staging/EngineMonitor.h"
#include "Staging/EnginePieces.h"
#include "Staging/ManifestFetcher.h"
#include "Staging/MismatchEvidence.h"
#include "Staging/PieceSources.h"
#include "Staging/StagingContext.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Staging {

// Fetches the missing pieces of the desired weights from the origin and from other agents, and stores them at the local
// engine. Runs on one event loop.
class PieceFetcher {
public:
    PieceFetcher(const StagingContext&, const EngineMonitor&, ManifestFetcher&, EnginePieces&);

    // Begins the checklist of the desired weights, unless it describes them and the running engine already. Returns
    // false if the manifest is not available.
    boost::asio::awaitable<bool> prepare(const DesiredWeights&);

    // Fetches until no piece is missing, other weights are desired or the engine does not respond.
    boost::asio::awaitable<void> fetchMissing(const DesiredWeights&);

    // Whether the pieces of the newest declared version can be fetched now: its manifest is known, and the origin responded
    // to the last request of this agent.
    bool canFetchNewest() const;

    // This agent's assignment for a piece of the version that the checklist describes.
    Queries::PieceAssignment assignment(const DesiredWeights&, unsigned piece);

private:
    using ClientsByAddress = std::map<std::string, std::unique_ptr<Http::PersistentHttpClient>>;
    using Queue = std::vector<unsigned>;
    using PieceResult = Base::Result<Http::HttpResponse, Http::HttpError>;

    boost::asio::awaitable<void> processQueue(const DesiredWeights&, std::shared_ptr<Queue>, std::shared_ptr<unsigned> running);
    boost::asio::awaitable<bool> fetchPiece(const DesiredWeights&, unsigned piece, ClientsByAddress&);
    boost::asio::awaitable<std::optional<std::string>> fetchFromSource(const DesiredWeights&, unsigned piece, const Queries::PieceSource&, ClientsByAddress&);
    Http::PersistentHttpClient& clientTo(const Http::Endpoint&, ClientsByAddress&) const;
    boost::asio::awaitable<std::optional<std::string>> fetchFromOrigin(const DesiredWeights&, unsigned piece);
    Base::AdaptiveTimeout& agentTimeoutOf(unsigned piece);
    Base::AdaptiveTimeout& originTimeoutOf(unsigned piece);
    void recordResponseTime(Base::AdaptiveTimeout&, const PieceResult&, Base::TimePoint requestedAt) const;
    void recordOriginState(bool isReachable);
    std::optional<std::string> takePieceFrom(const DesiredWeights&, unsigned piece, const Queries::PieceSource&, const Http::Endpoint&, PieceResult);
    void recordMismatch(const DesiredWeights&, unsigned piece, const std::string& bytes, const Queries::PieceSource&);
    // Whether the checklist is that of the manifest, which may have been fetched again.
    bool hasCurrentChecklist(const DesiredWeights&) const;
    std::optional<unsigned> takeDuePiece(const DesiredWeights&, Queue&);
    Queue orderMissing(const DesiredWeights&);
    std::vector<Queries::SourceAgent> otherAgents(const DesiredWeights&) const;

    const StagingContext& m_context;
    const EngineMonitor& m_monitor;
    ManifestFetcher& m_manifests;
    EnginePieces& m_pieces;
    PieceSources m_sources;
    MismatchEvidence m_mismatches;
    // By piece, so that fast transfers of others don't shorten that of a slow one.
    std::map<unsigned, Base::AdaptiveTimeout> m_agentTimeouts;
    std::map<unsigned, Base::AdaptiveTimeout> m_originTimeouts;
    bool m_isUsingOrigin = false;
    bool m_isOriginAway = false;
    Base::TimePoint m_originBackoffUntil {};
    // When the origin responded again after a failure. Its schedule starts anew then.
    std::optional<Base::TimePoint> m_originReturnedAt;
};

} // namespace Lavenderloft::Staging
