#include "Security/InnerCalls.h"
#include "Transport/Credentials.h"

#include <criterion/criterion.h>
#include <grpcpp/security/tls_credentials_options.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

namespace tls = grpc::experimental;

// A client that shows the identity, or none, and trusts the authorities.
std::shared_ptr<grpc::ChannelCredentials> makeClient(const Identity* identity, const std::string& authorities)
{
    std::vector<tls::IdentityKeyCertPair> pairs;
    if (identity)
        pairs.push_back({ identity->key, identity->certificate });
    tls::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(std::make_shared<tls::StaticDataCertificateProvider>(authorities, pairs));
    options.watch_root_certs();
    if (identity)
        options.watch_identity_key_cert_pairs();
    options.set_certificate_verifier(std::make_shared<tls::NoOpCertificateVerifier>());
    options.set_check_call_host(false);
    return tls::TlsCredentials(options);
}

// An agent and the authority of its system.
struct Scene {
    Scene() { folder.write(authority.issue(), authority.certificate()); }

    // Expects that none of the calls reached the agent's state.
    void expectNoAccess(const std::shared_ptr<grpc::ChannelCredentials>& credentials)
    {
        SecureAgent agent(folder.settings());
        InnerCalls calls(agent.address(), credentials);
        auto outcomes = calls.makeAll();
        cr_assert_eq(outcomes.size(), 8);
        for (auto& [name, code] : outcomes)
            cr_expect_eq(code, grpc::StatusCode::UNAVAILABLE, "%s ended with %d", name.c_str(), code);
        cr_assert_eq(agent.handler.calls, 0);
        cr_assert(calls.fetchedBytes.empty());
        cr_assert_eq(agent.state->counters.controlBytes, 0);
        cr_assert_eq(agent.state->counters.uploadedBytes, 0);
    }

    TestAuthority authority { "authority" };
    TlsFolder folder;
};

} // namespace

// Guards against checks that refuse a process of the system.
Test(Handshake, processOfTheSystemMakesEveryCall)
{
    Scene scene;
    SecureAgent agent(scene.folder.settings());
    TlsFolder folder;
    folder.write(scene.authority.issue(), scene.authority.certificate());
    auto credentials = Transport::makeTlsCredentials(folder.settings());
    cr_assert(Base::succeeded(credentials));
    InnerCalls calls(agent.address(), Base::valueOf(credentials)->channel(agent.address()));
    for (auto& [name, code] : calls.makeAll())
        cr_expect_eq(code, grpc::StatusCode::OK, "%s ended with %d", name.c_str(), code);
    cr_assert_eq(agent.handler.calls, 3);
    cr_assert(calls.fetchedBytes == SecureAgent::chunkBytes);
}

// Guards against a client that needs no certificate.
Test(Handshake, clientWithoutACertificateHasNoAccess)
{
    Scene scene;
    scene.expectNoAccess(makeClient(nullptr, scene.authority.certificate()));
}

// Guards against a server that accepts any certificate.
Test(Handshake, clientOfAnotherAuthorityHasNoAccess)
{
    Scene scene;
    // An authority of the same name must not pass either.
    TestAuthority other("authority");
    auto identity = other.issue();
    scene.expectNoAccess(makeClient(&identity, scene.authority.certificate()));
}

// Guards against a server that accepts a certificate after its last day.
Test(Handshake, clientWithAnExpiredCertificateHasNoAccess)
{
    Scene scene;
    auto identity = scene.authority.issue(std::chrono::seconds(-60));
    scene.expectNoAccess(makeClient(&identity, scene.authority.certificate()));
}

// Guards against an inner port that serves plain text beside TLS.
Test(Handshake, plainTextHasNoAccess)
{
    Scene scene;
    scene.expectNoAccess(Transport::makeLoopbackCredentials()->channel("127.0.0.1:1"));
}

// Guards against a process that sends its requests to a server outside the system.
Test(Handshake, serverOfAnotherAuthorityIsNotCalled)
{
    Scene scene;
    TestAuthority other("authority");
    TlsFolder folder;
    folder.write(other.issue(), other.certificate());
    auto credentials = Transport::makeTlsCredentials(folder.settings());
    scene.expectNoAccess(Base::valueOf(credentials)->channel("127.0.0.1:1"));
}

// Guards against a process without TLS that follows the VM list to another machine.
Test(Handshake, plainTextGoesToLoopbackAddressesOnly)
{
    auto credentials = Transport::makeLoopbackCredentials();
    cr_assert(credentials->channel("127.0.0.1:7001") && credentials->channel("[::1]:7001"));
    for (std::string address : { "10.0.0.1:7001", "[::2]:7001", "128.0.0.1:7001", "localhost:7001", "unix:socket", "" })
        cr_assert_not(credentials->channel(address), "%s", address.c_str());
    // A channel without credentials fails its calls.
    InnerCalls calls("10.0.0.1:7001", credentials->channel("10.0.0.1:7001"));
    cr_assert_neq(calls.getStatus(), grpc::StatusCode::OK);
}
