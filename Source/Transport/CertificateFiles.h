#pragma once

#include "Transport/Credentials.h"

namespace Lavenderloft::Transport {

// Checks that the files can be read and fit each other: the key belongs to the certificate, and the
// certificate is valid today, comes from one of the authorities and may be used at both ends.
Base::Result<Base::Done, CredentialsError> checkCertificateFiles(const Settings::TlsSettings&);

} // namespace Lavenderloft::Transport
