#pragma once

#include "Base/Result.h"
#include "Settings/ProcessSettings.h"

#include <memory>
#include <string>

namespace grpc {
class ChannelCredentials;
class ServerCredentials;
} // namespace grpc

namespace Lavenderloft::Transport {

enum class CredentialsErrorKind {
    // The settings neither name certificates nor allow plain text.
    NotConfigured,
    // A file cannot be read or contains no valid PEM data.
    UnreadableFile,
    // The certificate does not match its key, does not chain to an authority, is not currently valid or is not
    // allowed for TLS servers and clients.
    UnusableCertificate,
};

using CredentialsError = Base::Error<CredentialsErrorKind>;

// Server and channel credentials of the connections between the processes of the system.
class Credentials {
public:
    virtual ~Credentials() = default;

    // For the server on the inner port.
    virtual std::shared_ptr<grpc::ServerCredentials> server() const = 0;

    // For channels to the inner port of another process. Null if the address is not allowed; gRPC then fails
    // every call on the channel.
    virtual std::shared_ptr<grpc::ChannelCredentials> channel(const std::string& address) const = 0;
};

using SharedCredentials = std::shared_ptr<const Credentials>;

// Creates the credentials that the settings select. Reads the certificates once, so that invalid ones are
// reported when the process starts.
Base::Result<SharedCredentials, CredentialsError> makeCredentials(const Settings::ProcessSettings&);

// Creates credentials for mutual TLS with these certificates.
Base::Result<SharedCredentials, CredentialsError> makeTlsCredentials(const Settings::TlsSettings&);

// Creates credentials for plain text, which allow channels to loopback addresses only.
SharedCredentials makeLoopbackCredentials();

} // namespace Lavenderloft::Transport
