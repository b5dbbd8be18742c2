#pragma once

#include "Staging/EngineMonitor.h"
#include "Staging/StagingContext.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Lavenderloft::Staging {

// Fetches the manifests of the declared weights, from the origin or, while it is unreachable, from another agent, as soon
// as they are declared: the origin may be unreachable when the pieces are wanted. Runs on one event loop.
class ManifestFetcher {
public:
    // How long an agent promises no pieces to others after it failed to fetch the manifest.
    static constexpr std::chrono::milliseconds failureBackoff { 3000 };

    ManifestFetcher(const StagingContext&, const EngineMonitor&);

    // Fetches manifests until the event loop ends.
    boost::asio::awaitable<void> run();

    // Returns the manifest of a version, or null if it has not been fetched yet.
    const PieceManifest* find(uint64_t version) const;

    // Has the manifest of a version fetched again, because the pieces of several sources contradict it. The known one stays
    // in use until then.
    void dispute(uint64_t version);

    const std::map<uint64_t, PieceManifest>& all() const { return m_manifests; }

    // Whether the manifest of the version is missing and a fetch failed within failureBackoff.
    bool hasFailedRecently(uint64_t version) const;

private:
    // Manifests of the last declared versions are kept.
    static constexpr size_t maximumManifests = 3;

    boost::asio::awaitable<bool> fetch(const DesiredWeights&);
    boost::asio::awaitable<std::optional<PieceManifest>> fetchFromOrigin(const DesiredWeights&);
    boost::asio::awaitable<std::optional<PieceManifest>> fetchFromAnyAgent(const DesiredWeights&);
    boost::asio::awaitable<std::optional<PieceManifest>> fetchFromAgent(const DesiredWeights&, const std::string& address);
    std::vector<DesiredWeights> missing() const;
    bool isWanted(uint64_t version) const;
    void keep(PieceManifest);

    const StagingContext& m_context;
    const EngineMonitor& m_monitor;
    std::map<uint64_t, PieceManifest> m_manifests;
    std::set<uint64_t> m_disputed;
    std::optional<Base::TimePoint> m_failedAt;
};

} // namespace Lavenderloft::Staging
