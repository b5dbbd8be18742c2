#pragma once

#include "Transport/Credentials.h"

namespace Lavenderloft::Transport {

// Mutual TLS with certificates in files, which are read again at an interval. New connections use the
// newest files; connections that are open go on.
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
