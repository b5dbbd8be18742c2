#include "Transport/Credentials.h"
#include "CommandLine/StatusCommand.h"
#include "Security/SecureAgent.h"
#include "Transport/Events.h"
#include "Transport/GrpcLog.h"

#include <algorithm>
#include <condition_variable>
#include <criterion/criterion.h>
#include <mutex>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using CommandLine::ExitCode;
using Transport::CredentialsErrorKind;

namespace {

// Expects an error of this kind whose message contains the text and that has a remedy.
void expectRefusal(const TlsDirectory& folder, CredentialsErrorKind kind, const std::string& text)
{
    auto result = Transport::makeTlsCredentials(folder.settings());
    cr_assert_not(Base::succeeded(result), "%s", text.c_str());
    auto& error = Base::errorOf(result);
    cr_assert(error.kind == kind, "%s", error.describe().c_str());
    cr_assert(error.message.find(text) != std::string::npos, "%s", error.describe().c_str());
    cr_assert_not(error.remedy.empty());
}

ExitCode runStatus(const std::vector<std::string>& arguments)
{
    return CommandLine::StatusCommand().run(arguments);
}

} // namespace

// Guards against starting with certificates that no other process accepts.
Test(Credentials, rejectsUnusableFiles)
{
    TestAuthority authority("authority");
    TestAuthority other("other");
    auto identity = authority.issue();
    TlsDirectory folder;
    expectRefusal(folder, CredentialsErrorKind::UnreadableFile, "certificate.pem");
    folder.write(identity, "no PEM");
    expectRefusal(folder, CredentialsErrorKind::UnreadableFile, "authority.pem");
    folder.write({ identity.certificate, "no PEM" }, authority.certificate());
    expectRefusal(folder, CredentialsErrorKind::UnreadableFile, "key.pem");
    folder.write({ identity.certificate, authority.issue().key }, authority.certificate());
    expectRefusal(folder, CredentialsErrorKind::UnusableCertificate, "another certificate");
    folder.write(identity, other.certificate());
    expectRefusal(folder, CredentialsErrorKind::UnusableCertificate, "issuer");
    folder.write(authority.issue(std::chrono::seconds(-60)), authority.certificate());
    expectRefusal(folder, CredentialsErrorKind::UnusableCertificate, "expired");
    folder.write(authority.issue(std::chrono::hours(1), "serverAuth"), authority.certificate());
    expectRefusal(folder, CredentialsErrorKind::UnusableCertificate, "purpose");
    folder.write(authority.issue(std::chrono::hours(1), "serverAuth,clientAuth"), authority.certificate());
    cr_assert(Base::succeeded(Transport::makeTlsCredentials(folder.settings())));
}

// Guards against settings that are constructed in code and thus bypass the checks of the settings file.
Test(Credentials, requiresCertificatesOrLoopback)
{
    Settings::ProcessSettings settings;
    settings.inner = "127.0.0.1:0";
    cr_assert(Base::errorOf(Transport::makeCredentials(settings)).kind == CredentialsErrorKind::NotConfigured);
    settings.plainTextOnLoopback = true;
    cr_assert(Base::succeeded(Transport::makeCredentials(settings)));
    settings.inner = "10.0.0.1:0";
    cr_assert(Base::errorOf(Transport::makeCredentials(settings)).kind == CredentialsErrorKind::NotConfigured);
}

// Guards against a status command that does not support TLS or that works without a certificate.
Test(Credentials, statusCommandRequiresACertificate)
{
    TestAuthority authority("authority");
    TlsDirectory folder;
    folder.write(authority.issue(), authority.certificate());
    SecureAgent agent(folder.settings());
    auto certificate = folder.path("certificate.pem");
    auto key = folder.path("key.pem");
    auto trusted = folder.path("authority.pem");
    cr_assert(runStatus({ "--address", agent.address() }) == ExitCode::Refused);
    cr_assert(runStatus({ "--address", "10.0.0.1:1" }) == ExitCode::Usage);
    cr_assert(runStatus({ "--address", agent.address(), "--tls-certificate", certificate }) == ExitCode::Usage);
    cr_assert_eq(agent.handler.calls, 0);
    cr_assert(runStatus({ "--address", agent.address(), "--tls-certificate", certificate, "--tls-key", key, "--tls-authority", trusted }) == ExitCode::Success);
    folder.write("settings.json", R"({ "vm": "a", "region": "r", "dataCentre": "d", "callers": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "configurationService": "127.0.0.1:1", "vmList": "127.0.0.1:2", "inner": ")"
            + agent.address() + R"(", "tls": { "certificateFile": ")" + certificate + R"(", "keyFile": ")" + key + R"(", "authorityFile": ")" + trusted + "\" } }");
    cr_assert(runStatus({ "--settings", folder.path("settings.json") }) == ExitCode::Success);
    cr_assert_eq(agent.handler.calls, 2);
    cr_assert(runStatus({ "--settings", folder.path("settings.json"), "--tls-key", key }) == ExitCode::Usage);
}

// Guards against refused handshakes that are not logged, and against logging accepted ones.
Test(Credentials, refusedHandshakesAreLogged)
{
    std::mutex lock;
    std::condition_variable changed;
    std::vector<int> numbers;
    Transport::GrpcLog log([&](const Observability::Event& event, const std::string& message) {
        std::lock_guard guard(lock);
        cr_expect_not(message.empty());
        numbers.push_back(event.number);
        changed.notify_all();
    });
    TestAuthority authority("authority");
    TestAuthority other("other");
    TlsDirectory folder;
    folder.write(authority.issue(), authority.certificate());
    SecureAgent agent(folder.settings());
    auto status = [&](const TlsDirectory& files) {
        return runStatus({ "--address", agent.address(), "--tls-certificate", files.path("certificate.pem"), "--tls-key", files.path("key.pem"), "--tls-authority", files.path("authority.pem") });
    };
    cr_assert(status(folder) == ExitCode::Success);
    {
        std::lock_guard guard(lock);
        cr_assert(numbers.empty());
    }
    TlsDirectory foreign;
    foreign.write(other.issue(), other.certificate() + authority.certificate());
    cr_assert(status(foreign) == ExitCode::Refused);
    std::unique_lock guard(lock);
    changed.wait(guard, [&] { return std::count(numbers.begin(), numbers.end(), Transport::handshakeFailed.number) > 0; });
    cr_assert(Transport::classifyGrpcMessage("grpc_tls_certificate_provider.cc", "All retry attempts failed.")->number == Transport::certificatesNotRead.number);
    cr_assert(Transport::classifyGrpcMessage("tcp.cc", "x")->number == Transport::grpcFault.number);
}
