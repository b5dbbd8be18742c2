#include "Security/InnerCalls.h"
#include "Transport/Credentials.h"
#include "Transport/Events.h"
#include "Transport/GrpcLog.h"

#include <condition_variable>
#include <criterion/criterion.h>
#include <mutex>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// The TLS files of one process and the credentials created from them.
struct Peer {
    Peer(const TestAuthority& issuer, const std::string& authorities)
    {
        folder.write(issuer.issue(), authorities);
        credentials = Base::takeValue(Transport::makeTlsCredentials(folder.settings()));
    }

    // Makes a call on a new connection.
    grpc::StatusCode call(const std::string& address) const
    {
        return InnerCalls(address, credentials->channel(address)).getStatus();
    }

    // Makes calls on new connections until one returns the expected status. Gives up after 600 calls, at least 60 s.
    bool callUntil(const std::string& address, grpc::StatusCode expected) const
    {
        for (int i = 0; i < 600; ++i) {
            if (call(address) == expected)
                return true;
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

    TlsDirectory folder;
    Transport::SharedCredentials credentials;
};

} // namespace

// Guards against certificates that only a restart replaces, and against a rotation that breaks open connections. The
// test replaces the authority itself, the most extensive kind of rotation.
Test(Rotation, replacesTheAuthorityWithoutARestart)
{
    TestAuthority first("first");
    TestAuthority second("second");
    auto both = first.certificate() + second.certificate();
    TlsDirectory files;
    files.write(first.issue(), first.certificate());
    SecureAgent agent(files.settings());
    Peer oldPeer(first, first.certificate());
    Peer newPeer(second, second.certificate());
    cr_assert_eq(oldPeer.call(agent.address()), grpc::StatusCode::OK);
    cr_assert_eq(newPeer.call(agent.address()), grpc::StatusCode::UNAVAILABLE);

    InnerCalls openConnection(agent.address(), oldPeer.credentials->channel(agent.address()));
    auto stub = openConnection.targetStub();
    RouterCall openCall(*stub);
    auto permit = openCall.admit(RouterCall::makeAdmit("a", "", 5));
    cr_assert(permit.has_permit());

    files.write(second.issue(), second.certificate());
    cr_assert(newPeer.callUntil(agent.address(), grpc::StatusCode::OK));
    cr_assert(oldPeer.callUntil(agent.address(), grpc::StatusCode::UNAVAILABLE));

    openCall.sendBody(permit.permit().permit_id(), "hello");
    cr_assert(openCall.readResponse() == "hello");
    cr_assert_eq(openCall.end.end().status(), protocol::END_STATUS_COMPLETE);
    cr_assert_eq(openConnection.getStatus(), grpc::StatusCode::OK);

    // The client reads its new files and can connect again.
    oldPeer.folder.write(second.issue(), both);
    cr_assert(oldPeer.callUntil(agent.address(), grpc::StatusCode::OK));
}

// Guards against an outage when files are missing or incomplete while the process runs.
Test(Rotation, keepsTheLastUsableFiles)
{
    TestAuthority authority("authority");
    TlsDirectory files;
    files.write(authority.issue(), authority.certificate());
    SecureAgent agent(files.settings());
    Peer peer(authority, authority.certificate());
    std::filesystem::remove(files.path("key.pem"));
    std::filesystem::remove(files.path("authority.pem"));
    // The files are read again every second.
    std::this_thread::sleep_for(2500ms);
    cr_assert_eq(peer.call(agent.address()), grpc::StatusCode::OK);
}

// Guards against an invalid replacement that is not logged, that breaks open connections or that only a restart
// corrects.
Test(Rotation, recoversFromAKeyOfAnotherCertificate)
{
    std::mutex lock;
    std::condition_variable changed;
    bool isReported = false;
    Transport::GrpcLog log([&](const Observability::Event& event, const std::string&) {
        std::lock_guard guard(lock);
        isReported |= event.number == Transport::certificatesRejected.number;
        changed.notify_all();
    });
    TestAuthority authority("authority");
    TlsDirectory files;
    auto identity = authority.issue();
    files.write(identity, authority.certificate());
    SecureAgent agent(files.settings());
    Peer peer(authority, authority.certificate());
    InnerCalls openConnection(agent.address(), peer.credentials->channel(agent.address()));
    cr_assert_eq(openConnection.getStatus(), grpc::StatusCode::OK);
    files.write("key.pem", authority.issue().key);
    {
        std::unique_lock guard(lock);
        changed.wait(guard, [&] { return isReported; });
    }
    cr_assert_eq(openConnection.getStatus(), grpc::StatusCode::OK);
    files.write("key.pem", identity.key);
    cr_assert(peer.callUntil(agent.address(), grpc::StatusCode::OK));
}
