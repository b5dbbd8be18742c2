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

// The process on an entry VM: takes the requests of callers, and keeps the target table in line with
// the control plane. Built by RouterBuilder.
class RouterProcess final : public Routing::CrashReportExchange {
public:
    // Everything that a router is made of; the references outlive it.
    struct Parts {
        Settings::ProcessSettings settings;
        ControlView& control;
        const Base::Clock& clock;
        Observability::Metrics& metrics;
        std::shared_ptr<Base::RandomSource> random;
        std::shared_ptr<const Routing::TargetPolicy> policy;
        std::shared_ptr<Routing::TargetChannels> channels;
        unsigned callerThreads = 2;
    };

    // Binds the ports and starts to serve. Throws std::runtime_error with the address that can't be bound.
    explicit RouterProcess(Parts);
    ~RouterProcess() override;

    // The ports in use, also when the settings ask for port 0.
    uint16_t callersPort() const;
    uint16_t adminPort() const;

    size_t runningRequests() const;
    uint64_t heldStreamBytes() const;
    uint64_t peakStreamBytes() const;
    uint64_t abortedStreams() const;

    // Graceful shutdown: stops accepting, tells callers to close their connections and waits for running
    // requests, at most for the time given. Returns whether all of them ended.
    bool drain(Base::Duration limit);

    std::vector<Routing::CrashReport> crashReports() const override;
    void merge(const std::vector<Routing::CrashReport>&) override;

private:
    struct State;
    std::shared_ptr<State> m_state;
    // Fulfilled when the last request has let go of the state.
    std::future<void> m_released;
};

} // namespace Lavenderloft::Process
