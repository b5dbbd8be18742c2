#include "Bench/Spread/FleetNode.h"

#include <grpcpp/grpcpp.h>
#include <stdexcept>
#include <thread>

namespace Lavenderloft::Bench::Spread {

namespace {

    Process::SourceError partitionError()
    {
        return { Process::SourceErrorKind::Unavailable, "injected fault: the node is partitioned from the platform", "heal the partition" };
    }

} // namespace

Base::Result<std::optional<std::string>, Process::SourceError> PartitionableSource::read(uint64_t afterRevision, std::chrono::milliseconds wait)
{
    if (m_partitioned)
        return partitionError();
    auto result = m_source.read(afterRevision, wait);
    // A watch that was open when the partition began must not deliver its result.
    if (m_partitioned)
        return partitionError();
    return result;
}

Base::Result<std::vector<Process::ListedVm>, Process::SourceError> PartitionableSource::listVms()
{
    if (m_partitioned)
        return partitionError();
    return m_source.listVms();
}

FleetNode::FleetNode(const Settings::ProcessSettings& settings, Membership::Role role, uint64_t seed, const NetworkFaults& faults, std::unique_ptr<Process::ConfigurationSource> source)
    : m_settings(settings)
    , m_role(role)
    , m_random(seed)
    , m_peers(m_client, faults, m_random)
    , m_platform(std::move(source))
    , m_source(*m_platform, m_partitioned)
{
}

FleetNode::~FleetNode()
{
    stop();
}

void FleetNode::start(std::vector<std::string> seeds)
{
    m_settings.peers = std::move(seeds);
    m_control = std::make_unique<Process::ControlNode>(m_settings, m_role, Process::ControlNodeDependencies { m_clock, m_random, m_peers, m_source, m_metrics });
    m_service = std::make_unique<Transport::ControlServiceServer>(*m_control);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&m_service->service());
    m_server = builder.BuildAndStart();
    if (!m_server)
        throw std::runtime_error("cannot start the gRPC server of VM " + m_settings.vm + " on an ephemeral port of 127.0.0.1");
    m_address = "127.0.0.1:" + std::to_string(port);
    m_peers.setOwnAddress(m_address);
    m_control->start(m_address);
}

void FleetNode::stop()
{
    if (!m_control)
        return;
    m_control->stop();
    if (m_server) {
        m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
        m_server.reset();
    }
}

} // namespace Lavenderloft::Bench::Spread
