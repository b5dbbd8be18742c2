#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Http/HttpServer.h"
#include "Observability/Metrics.h"
#include "Process/ControlView.h"
#include "Routing/RoutingContext.h"
#include "Settings/ProcessSettings.h"

#include <future>
#include <memory>

namespace Lavenderloft::Process {

// The process on an entry VM: serves callers and updates the target table from the control plane. Built by
// RouterBuilder.
class RouterProcess final : public Routing::CrashReportExchange {
public:
    // Settings and dependencies of a RouterProcess. Referenced objects must outlive it.
    struct Dependencies {
        Settings::ProcessSettings settings;
        ControlView& control;
        const Base::Clock& clock;
        Observability::Metrics& metrics;
        std::shared_ptr<Base::RandomSource> random;
        std::shared_ptr<const Routing::TargetPolicy> policy;
        std::shared_ptr<Routing::TargetChannels> channels;
        unsigned callerThreads = 2;
    };

    // Binds the ports and starts serving. Throws std::runtime_error that names the address if a port cannot be bound.
    explicit RouterProcess(Dependencies);
    ~RouterProcess() override;

    // Bound ports; relevant if the settings give port 0.
    uint16_t callersPort() const;
    uint16_t adminPort() const;

    size_t runningRequests() const;
    uint64_t heldStreamBytes() const;
    uint64_t peakStreamBytes() const;
    uint64_t abortedStreams() const;

    // Shuts down gracefully: stops accepting requests, tells callers to close their connections and waits for
    // running requests until the limit. Returns whether all of them ended.
    bool drain(Base::Duration limit);

    std::vector<Routing::CrashReport> crashReports() const override;
    void merge(const std::vector<Routing::CrashReport>&) override;

private:
    struct State;
    std::shared_ptr<State> m_state;
    // Ready once the last request has released the state.
    std::future<void> m_stateReleased;
};

} // namespace Lavenderloft::Process
