#pragma once

#include "Base/ShardedMap.h"
#include "Routing/TargetChannel.h"
#include "Transport/Credentials.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace Lavenderloft::Transport {

// The gRPC connection to one agent. Keep-alive pings detect an unresponsive connection; after repeated failures
// the connection is replaced by a new one.
class TargetClient final : public Routing::TargetChannel, public std::enable_shared_from_this<TargetClient> {
public:
    // The address is the IP:port of the agent's inner port.
    TargetClient(std::string address, SharedCredentials);
    ~TargetClient() override;

    std::shared_ptr<Routing::Attempt> open(const Routing::AdmissionRequest&, std::shared_ptr<Routing::AttemptEvents>) override;
    void resolve(const std::string& attemptId, const Routing::Permit&, Base::Duration timeout, std::function<void(Routing::Resolution)>) override;

private:
    struct Connection;

    std::shared_ptr<Connection> connection();
    void callFinished(const std::shared_ptr<Connection>&, bool isConnectionUsable);

    const std::string m_address;
    const SharedCredentials m_credentials;
    std::mutex m_lock;
    std::shared_ptr<Connection> m_connection;
};

// The clients of all agents, one per address.
class TargetClients final : public Routing::TargetChannels {
public:
    explicit TargetClients(SharedCredentials);

    std::shared_ptr<Routing::TargetChannel> channelTo(const std::string& address) override;

    void retain(const std::set<std::string>& addresses) override;

private:
    const SharedCredentials m_credentials;
    Base::ShardedMap<std::string, std::shared_ptr<TargetClient>> m_clients;
};

} // namespace Lavenderloft::Transport
