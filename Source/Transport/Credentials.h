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
    // The settings give neither certificates nor leave to do without them.
    NotConfigured,
    // A file cannot be read or holds no usable PEM.
    UnreadableFile,
    // The certificate does not fit its key, its authority, the date or its use.
    UnusableCertificate,
};

using CredentialsError = Base::Error<CredentialsErrorKind>;

// How the connections between the system's processes are protected, at both ends.
class Credentials {
public:
    virtual ~Credentials() = default;

    // For the inner port.
    virtual std::shared_ptr<grpc::ServerCredentials> server() const = 0;

    // For calls to the inner port of another process. Null if this address may not be called; gRPC then
    // fails every call of the channel.
    virtual std::shared_ptr<grpc::ChannelCredentials> channel(const std::string& address) const = 0;
};

using SharedCredentials = std::shared_ptr<const Credentials>;

// The credentials that the settings ask for. Reads the certificates once, so that a fault in them is
// reported when the process starts.
Base::Result<SharedCredentials, CredentialsError> makeCredentials(const Settings::ProcessSettings&);

// Mutual TLS with these certificates.
Base::Result<SharedCredentials, CredentialsError> makeTlsCredentials(const Settings::TlsSettings&);

// Plain text, to and from loopback addresses only.
SharedCredentials makeLoopbackCredentials();

} // namespace Lavenderloft::Transport
