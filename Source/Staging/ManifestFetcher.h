#pragma once

#include "Staging/StagingContext.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace Lavenderloft::Staging {

// Fetches the manifest of the desired weights, from the origin or, while it is unreachable, from another agent. Runs on
// one event loop.
class ManifestFetcher {
public:
    // How long an agent promises no pieces to others after it failed to fetch the manifest.
    static constexpr std::chrono::milliseconds failureBackoff { 3000 };

    explicit ManifestFetcher(const StagingContext&);

    // Returns nullopt if neither the origin nor another agent delivered the manifest.
    boost::asio::awaitable<std::optional<PieceManifest>> fetch(const DesiredWeights&);

    // Whether a fetch failed within failureBackoff.
    bool hasFailedRecently() const;

private:
    boost::asio::awaitable<std::optional<PieceManifest>> fetchFromOrigin(const DesiredWeights&);
    boost::asio::awaitable<std::optional<PieceManifest>> fetchFromAnyAgent(const DesiredWeights&);
    boost::asio::awaitable<std::optional<PieceManifest>> fetchFromAgent(const DesiredWeights&, const std::string& address);

    const StagingContext& m_context;
    std::optional<Base::TimePoint> m_failedAt;
};

} // namespace Lavenderloft::Staging
