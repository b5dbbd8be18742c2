#pragma once

#include "Transport/Credentials.h"

namespace Lavenderloft::Transport {

// Plain text between processes on the same host.
class LoopbackCredentials final : public Credentials {
public:
    std::shared_ptr<grpc::ServerCredentials> server() const override;
    // Null unless the address is a loopback address.
    std::shared_ptr<grpc::ChannelCredentials> channel(const std::string& address) const override;
};

} // namespace Lavenderloft::Transport
