#pragma once

#include "Base/RandomSource.h"
#include "Process/ControlView.h"
#include "Settings/ProcessSettings.h"
#include "Transport/Credentials.h"
#include "Weights/LinkLimiter.h"
#include "Weights/PeerClient.h"
#include "Weights/WeightCounters.h"
#include "Weights/WeightProvider.h"

#include "Base/Clock.h"
#include "Observability/Metrics.h"

#include <memory>

namespace grpc {
class Service;
}

namespace Lavenderloft::Process {

// Distributes weights on one VM: fetches wanted versions from the weight store and other agents, and serves them to
// other agents. Composes Weights, Transport and Http; runs one thread.
class WeightNode final : public Weights::WeightProvider {
public:
    ~WeightNode() override;

    void setWanted(const std::vector<Weights::WantedManifest>&) override;
    Weights::TransferProgress progress(const std::string& manifestDigest) const override;
    std::shared_ptr<const std::string> chunk(const std::string& manifestDigest, unsigned index) const override;

    std::shared_ptr<const std::string> manifestBytes(const std::string& manifestDigest) const override;

    // The WeightService, to be registered with the gRPC server of the process. The server must be shut down before
    // this object is destroyed.
    grpc::Service& service();

    // Starts fetching the wanted versions. Call once the gRPC server is running.
    void start();

    // Cancels all downloads and joins the thread.
    void stop();

    const Weights::WeightCounters& counters() const;

    // Memory occupied by the chunks held.
    uint64_t heldBytes() const;

private:
    friend class WeightNodeBuilder;
    class Implementation;
    explicit WeightNode(std::unique_ptr<Implementation>);

    std::unique_ptr<Implementation> m_implementation;
};

// Builds a WeightNode. The control view and the clock must outlive it.
class WeightNodeBuilder {
public:
    WeightNodeBuilder(const Settings::ProcessSettings&, ControlView&, const Base::Clock&);

    WeightNodeBuilder& withMetrics(std::shared_ptr<Observability::Metrics>);
    WeightNodeBuilder& withRandom(std::shared_ptr<Base::RandomSource>);
    // Credentials of the connections to other agents; by default, created from the settings.
    WeightNodeBuilder& withCredentials(Transport::SharedCredentials);
    // Adds a limiter to the one for links between regions.
    WeightNodeBuilder& withLinkLimiter(std::shared_ptr<Weights::LinkLimiter>);
    // Replaces or wraps the default gRPC client, which is passed to the function.
    WeightNodeBuilder& withPeerClient(std::function<std::shared_ptr<Weights::PeerClient>(std::shared_ptr<Weights::PeerClient>)>);

    // Fails if weightStore is not an address or the certificates named in the settings are not usable.
    Base::Result<std::unique_ptr<WeightNode>, Weights::WeightError> build();

private:
    Settings::ProcessSettings m_settings;
    ControlView& m_control;
    const Base::Clock& m_clock;
    std::shared_ptr<Observability::Metrics> m_metrics;
    std::shared_ptr<Base::RandomSource> m_random;
    Transport::SharedCredentials m_credentials;
    std::shared_ptr<Weights::LinkLimiter> m_linkLimiter;
    std::function<std::shared_ptr<Weights::PeerClient>(std::shared_ptr<Weights::PeerClient>)> m_wrapPeerClient;
};

} // namespace Lavenderloft::Process
