#pragma once

#include "Transport/Credentials.h"

namespace Lavenderloft::Transport {

// Checks that the files are readable and consistent: the private key matches the certificate, and the
// certificate is currently valid, chains to one of the authorities and is allowed for TLS servers and clients.
Base::Result<Base::Done, CredentialsError> checkCertificateFiles(const Settings::TlsSettings&);

} // namespace Lavenderloft::Transport
