#include "Transport/TlsFileCredentials.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace Lavenderloft::Transport {

namespace tls = grpc::experimental;

struct TlsFileCredentials::State {
    std::shared_ptr<tls::CertificateProviderInterface> provider;
    std::shared_ptr<grpc::ServerCredentials> server;
    std::shared_ptr<grpc::ChannelCredentials> channel;
};

namespace {

    // Options of servers and channels: own certificate, authorities, and no host name verification, because
    // processes connect by IP address and every certificate issued by the authorities identifies a process of the
    // system.
    void setCommonOptions(tls::TlsCredentialsOptions& options)
    {
        options.watch_identity_key_cert_pairs();
        options.watch_root_certs();
        options.set_certificate_verifier(std::make_shared<tls::NoOpCertificateVerifier>());
        options.set_check_call_host(false);
    }

    std::shared_ptr<grpc::ServerCredentials> makeServer(const std::shared_ptr<tls::CertificateProviderInterface>& provider)
    {
        tls::TlsServerCredentialsOptions options(provider);
        setCommonOptions(options);
        options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
        return tls::TlsServerCredentials(options);
    }

    std::shared_ptr<grpc::ChannelCredentials> makeChannel(const std::shared_ptr<tls::CertificateProviderInterface>& provider)
    {
        tls::TlsChannelCredentialsOptions options;
        options.set_certificate_provider(provider);
        setCommonOptions(options);
        options.set_verify_server_certs(true);
        return tls::TlsCredentials(options);
    }

} // namespace

TlsFileCredentials::TlsFileCredentials(const Settings::TlsSettings& settings)
    : m_state(std::make_unique<State>())
{
    auto interval = static_cast<unsigned>(settings.reloadInterval.count());
    m_state->provider = std::make_shared<tls::FileWatcherCertificateProvider>(settings.keyFile, settings.certificateFile, settings.authorityFile, interval);
    m_state->server = makeServer(m_state->provider);
    m_state->channel = makeChannel(m_state->provider);
}

TlsFileCredentials::~TlsFileCredentials() = default;

std::shared_ptr<grpc::ServerCredentials> TlsFileCredentials::server() const
{
    return m_state->server;
}

std::shared_ptr<grpc::ChannelCredentials> TlsFileCredentials::channel(const std::string&) const
{
    return m_state->channel;
}

} // namespace Lavenderloft::Transport
