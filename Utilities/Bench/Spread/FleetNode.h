#pragma once

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Bench/Spread/FaultyMembershipPeerClient.h"
#include "Process/ControlNode.h"
#include "Process/HttpConfigurationSource.h"
#include "Transport/ControlServiceClient.h"
#include "Transport/ControlServiceServer.h"

#include <memory>
#include <string>

namespace grpc {
class Server;
}

namespace Lavenderloft::Bench::Spread {

// Forwards reads to another source, or fails them while the node is partitioned from the platform.
class PartitionableSource final : public Process::ConfigurationSource {
public:
    PartitionableSource(Process::ConfigurationSource& source, const std::atomic<bool>& partitioned)
        : m_source(source)
        , m_partitioned(partitioned)
    {
    }

    Base::Result<std::optional<std::string>, Process::SourceError> read(uint64_t afterRevision, std::chrono::milliseconds wait) override;
    Base::Result<std::vector<Process::ListedVm>, Process::SourceError> listVms() override;
    void shutDown() override { m_source.shutDown(); }

private:
    Process::ConfigurationSource& m_source;
    const std::atomic<bool>& m_partitioned;
};

// The control plane of one simulated process, with its own gRPC server on loopback.
class FleetNode {
public:
    FleetNode(const Settings::ProcessSettings&, Membership::Role, uint64_t seed, const NetworkFaults&, std::unique_ptr<Process::ConfigurationSource>);
    ~FleetNode();

    void start(std::vector<std::string> seeds);
    void stop();

    const std::string& address() const { return m_address; }
    const std::string& dataCentre() const { return m_settings.dataCentre; }
    const Process::ControlNode& control() const { return *m_control; }
    uint64_t bytesTransferred() const { return m_client.bytesTransferred(); }

    // Whether calls to the platform's services fail.
    void setPartitionedFromPlatform(bool partitioned) { m_partitioned = partitioned; }

private:
    Settings::ProcessSettings m_settings;
    Membership::Role m_role;
    Base::SystemClock m_clock;
    Base::SeededRandom m_random;
    Observability::Metrics m_metrics;
    Transport::ControlServiceClient m_client { Transport::makeLoopbackCredentials() };
    FaultyMembershipPeerClient m_peers;
    std::atomic<bool> m_partitioned { false };
    std::unique_ptr<Process::ConfigurationSource> m_platform;
    PartitionableSource m_source;
    std::unique_ptr<Process::ControlNode> m_control;
    std::unique_ptr<Transport::ControlServiceServer> m_service;
    std::unique_ptr<grpc::Server> m_server;
    std::string m_address;
};

} // namespace Lavenderloft::Bench::Spread
