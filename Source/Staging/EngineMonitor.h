#pragma once

#include "Staging/LoadState.h"
#include "Staging/StagingContext.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

namespace Lavenderloft::Staging {

// Polls the local engine and keeps its last report. Runs on one event loop.
class EngineMonitor {
public:
    // Called after each report of the engine.
    using ReportHandler = std::function<void(const EngineReport&)>;
    // Called after each poll that found no engine, for some time after its end.
    using EndHandler = std::function<void()>;

    EngineMonitor(const StagingContext&, LoadState&);

    // Polls the engine until the event loop ends.
    boost::asio::awaitable<void> run(ReportHandler, EndHandler);

    // The last report; empty while the engine does not respond.
    const std::optional<EngineReport>& report() const { return m_report; }

    // The version of the desired model of which the engine has loaded all layers from whole pieces; 0 if there is none.
    uint64_t wholeVersion() const;

    // What the engine should load next. While a load request is pending, its weights.
    std::optional<DesiredWeights> findDesiredWeights() const;

    // Whether the engine should still load these weights next, and not others.
    bool isStillDesired(const DesiredWeights&) const;

    bool hasLoaded(const DesiredWeights&) const;

    // Time since the engine was seen to end or restart; nothing if that was long ago.
    std::optional<std::chrono::milliseconds> timeSinceEnd() const;

    // Whether the engine responds and is running requests or has some in its queue.
    bool hasRequests() const;

private:
    using PollResult = Base::Result<Http::HttpResponse, Http::HttpError>;

    boost::asio::awaitable<std::string> poll(Http::PersistentHttpClient&);
    std::string takeReport(const PollResult&);
    void recordLoads(Base::TimePoint polledAt);
    void detectEnd(const std::optional<EngineReport>& before, const PollResult&);
    void logAcceptedLoads(const std::optional<EngineReport>& before) const;

    const StagingContext& m_context;
    LoadState& m_loadState;
    std::optional<EngineReport> m_report;
    // When the engine was last seen to end or restart.
    std::optional<Base::TimePoint> m_endedAt;
};

} // namespace Lavenderloft::Staging
