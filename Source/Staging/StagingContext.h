#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Fleet/FleetState.h"
#include "Fleet/NodeSettings.h"
#include "Http/PersistentHttpClient.h"
#include "Staging/DesiredWeights.h"
#include "Staging/EngineProtocol.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace Lavenderloft::Staging {

// What the parts of a StagingNode share. All of them run on its event loop.
struct StagingContext {
    // Timeouts of a request to the local engine and to the weight origin.
    static constexpr std::chrono::milliseconds engineTimeout { 1500 };
    static constexpr std::chrono::milliseconds originTimeout { 5000 };

    boost::asio::io_context& loop;
    const Fleet::NodeSettings& settings;
    const Fleet::FleetState& fleet;
    const EngineProtocol& protocol;
    const Base::Clock& clock;
    Base::RandomSource& random;

    std::shared_ptr<const Fleet::FleetSnapshot> snapshot() const;

    // What an engine that holds `heldVersion` should load next.
    std::optional<DesiredWeights> findDesiredWeights(uint64_t heldVersion) const;

    // The last declared version.
    std::optional<DesiredWeights> findNewestWeights() const;

    Http::PersistentHttpClient clientTo(const Http::Endpoint&) const;
    Http::PersistentHttpClient engineClient() const;
};

} // namespace Lavenderloft::Staging
