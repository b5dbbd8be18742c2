#pragma once

#include "Transport/Credentials.h"

namespace Lavenderloft::Transport {

// Mutual TLS with certificate files that are reloaded periodically. New connections use the latest files;
// established connections are not affected.
class TlsFileCredentials final : public Credentials {
public:
    explicit TlsFileCredentials(const Settings::TlsSettings&);
    ~TlsFileCredentials() override;

    std::shared_ptr<grpc::ServerCredentials> server() const override;
    std::shared_ptr<grpc::ChannelCredentials> channel(const std::string& address) const override;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Lavenderloft::Transport
