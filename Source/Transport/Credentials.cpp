#include "Transport/Credentials.h"

#include "Transport/CertificateFiles.h"
#include "Transport/LoopbackCredentials.h"
#include "Transport/TlsFileCredentials.h"
#include "Json/TextChecks.h"

namespace Lavenderloft::Transport {

Base::Result<SharedCredentials, CredentialsError> makeCredentials(const Settings::ProcessSettings& settings)
{
    if (settings.tls)
        return makeTlsCredentials(*settings.tls);
    // Settings that are built in code may not have been validated.
    if (settings.plainTextOnLoopback && (settings.inner.empty() || Json::isLoopbackAddress(settings.inner)))
        return makeLoopbackCredentials();
    return CredentialsError { CredentialsErrorKind::NotConfigured, "setting \"tls\": not set, and plain text between processes is not allowed",
        "add \"tls\" with \"certificateFile\", \"keyFile\" and \"authorityFile\"; or, if every inner address is a loopback address, set \"plainTextOnLoopback\": true" };
}

Base::Result<SharedCredentials, CredentialsError> makeTlsCredentials(const Settings::TlsSettings& settings)
{
    auto checked = checkCertificateFiles(settings);
    if (!Base::succeeded(checked))
        return Base::errorOf(checked);
    return std::make_shared<TlsFileCredentials>(settings);
}

SharedCredentials makeLoopbackCredentials()
{
    return std::make_shared<LoopbackCredentials>();
}

} // namespace Lavenderloft::Transport
