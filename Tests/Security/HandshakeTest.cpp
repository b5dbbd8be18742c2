#include "Security/InnerCalls.h"
#include "Transport/Credentials.h"

#include <criterion/criterion.h>
#include <grpcpp/security/tls_credentials_options.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

namespace tls = grpc::experimental;

// Credentials of a client that presents the identity, if any, and trusts the authorities.
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

// The certificate authority of a fleet and the files of one of its agents.
struct HandshakeFixture {
    HandshakeFixture() { folder.write(authority.issue(), authority.certificate()); }

    // Expects that every call fails and that none reaches the agent's state.
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
    TlsDirectory folder;
};

} // namespace

// Guards against refusing a process of the same fleet.
Test(Handshake, processOfTheSameAuthorityMakesEveryCall)
{
    HandshakeFixture fixture;
    SecureAgent agent(fixture.folder.settings());
    TlsDirectory folder;
    folder.write(fixture.authority.issue(), fixture.authority.certificate());
    auto credentials = Transport::makeTlsCredentials(folder.settings());
    cr_assert(Base::succeeded(credentials));
    InnerCalls calls(agent.address(), Base::valueOf(credentials)->channel(agent.address()));
    for (auto& [name, code] : calls.makeAll())
        cr_expect_eq(code, grpc::StatusCode::OK, "%s ended with %d", name.c_str(), code);
    cr_assert_eq(agent.handler.calls, 3);
    cr_assert(calls.fetchedBytes == SecureAgent::chunkBytes);
}

// Guards against a server that does not require a client certificate.
Test(Handshake, clientWithoutACertificateHasNoAccess)
{
    HandshakeFixture fixture;
    fixture.expectNoAccess(makeClient(nullptr, fixture.authority.certificate()));
}

// Guards against a server that accepts any certificate.
Test(Handshake, clientOfAnotherAuthorityHasNoAccess)
{
    HandshakeFixture fixture;
    // An authority with the same name but another key must be refused as well.
    TestAuthority other("authority");
    auto identity = other.issue();
    fixture.expectNoAccess(makeClient(&identity, fixture.authority.certificate()));
}

// Guards against a server that accepts an expired certificate.
Test(Handshake, clientWithAnExpiredCertificateHasNoAccess)
{
    HandshakeFixture fixture;
    auto identity = fixture.authority.issue(std::chrono::seconds(-60));
    fixture.expectNoAccess(makeClient(&identity, fixture.authority.certificate()));
}

// Guards against an inner port that serves plain text as well as TLS.
Test(Handshake, plainTextHasNoAccess)
{
    HandshakeFixture fixture;
    fixture.expectNoAccess(Transport::makeLoopbackCredentials()->channel("127.0.0.1:1"));
}

// Guards against sending requests to a server outside the fleet.
Test(Handshake, serverOfAnotherAuthorityIsNotCalled)
{
    HandshakeFixture fixture;
    TestAuthority other("authority");
    TlsDirectory folder;
    folder.write(other.issue(), other.certificate());
    auto credentials = Transport::makeTlsCredentials(folder.settings());
    fixture.expectNoAccess(Base::valueOf(credentials)->channel("127.0.0.1:1"));
}

// Guards against a process without TLS that connects to another machine because the VM list names it.
Test(Handshake, plainTextGoesToLoopbackAddressesOnly)
{
    auto credentials = Transport::makeLoopbackCredentials();
    cr_assert(credentials->channel("127.0.0.1:7001") && credentials->channel("[::1]:7001"));
    for (std::string address : { "10.0.0.1:7001", "[::2]:7001", "128.0.0.1:7001", "localhost:7001", "unix:socket", "" })
        cr_assert_not(credentials->channel(address), "%s", address.c_str());
    // Calls on a channel without credentials must fail.
    InnerCalls calls("10.0.0.1:7001", credentials->channel("10.0.0.1:7001"));
    cr_assert_neq(calls.getStatus(), grpc::StatusCode::OK);
}
