#include "Security/SecureAgent.h"
#include "Transport/ControlServiceClient.h"
#include "Transport/TargetClient.h"
#include "Transport/WeightServiceClient.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// Records the first event of an attempt at TargetService.
class FirstEventRecorder final : public Routing::AttemptEvents {
public:
    void permitted(const Routing::Permit&) override { record("permitted"); }
    void refused(const Routing::Refusal&) override { record("refused"); }
    void head(Routing::ResponseHead) override { }
    void data(Routing::ResponseData, std::function<void()> resume) override { resume(); }
    void ended(const Routing::ResponseEnd&) override { }
    void closed(const std::string&) override { record("closed"); }
    void loadReported(const Membership::TargetLoad&) override { }

    std::string wait() { return m_event.get_future().get(); }

private:
    void record(const char* event)
    {
        if (!m_isRecorded.exchange(true))
            m_event.set_value(event);
    }

    std::promise<std::string> m_event;
    std::atomic<bool> m_isRecorded { false };
};

// Collects the bytes of a chunk download, or "failed".
class CollectingSink final : public Weights::ChunkSink {
public:
    void part(std::string_view bytes) override { m_bytes += bytes; }
    void end(const Base::Result<Base::Done, Weights::WeightError>& result) override { m_end.set_value(Base::succeeded(result) ? m_bytes : "failed"); }

    std::string wait() { return m_end.get_future().get(); }

private:
    std::string m_bytes;
    std::promise<std::string> m_end;
};

struct ClientOutcomes {
    bool hasStatus;
    std::string attempt;
    std::string chunk;
};

// Makes one call with each of the clients that processes use for the inner port.
ClientOutcomes useClients(const SecureAgent& agent, const Transport::SharedCredentials& credentials)
{
    ClientOutcomes outcomes;
    Transport::ControlServiceClient control(credentials);
    outcomes.hasStatus = Base::succeeded(control.fetchStatus(agent.address(), 60s));

    auto events = std::make_shared<FirstEventRecorder>();
    Transport::TargetClients targets(credentials);
    Routing::AdmissionRequest admission;
    admission.attemptId = "attempt";
    admission.destination = "ledger";
    admission.timeLeft = 60s;
    admission.repeatable = true;
    auto attempt = targets.channelTo(agent.address())->open(admission, events);
    attempt->start();
    outcomes.attempt = events->wait();
    attempt->cancel();

    auto sink = std::make_shared<CollectingSink>();
    Transport::WeightServiceClient weights({ "vm-2", "127.0.0.1:1", "dc-1", "r-1" }, std::make_shared<Weights::WeightState>(1), credentials);
    auto fetch = weights.fetchChunk({ "vm-1", agent.address(), "dc-1", "r-1" }, { SecureAgent::chunkDigest }, sink);
    outcomes.chunk = sink->wait();
    return outcomes;
}

} // namespace

// Guards against a client that does not use the process's credentials.
Test(Clients, useTheirCredentials)
{
    TestAuthority authority("authority");
    TestAuthority other("other");
    TlsDirectory own;
    TlsDirectory foreign;
    own.write(authority.issue(), authority.certificate());
    foreign.write(other.issue(), other.certificate() + authority.certificate());
    SecureAgent agent(own.settings());
    auto accepted = useClients(agent, Base::valueOf(Transport::makeTlsCredentials(own.settings())));
    cr_assert(accepted.hasStatus);
    cr_assert(accepted.attempt == "permitted", "%s", accepted.attempt.c_str());
    cr_assert(accepted.chunk == SecureAgent::chunkBytes);
    for (auto& credentials : { Base::valueOf(Transport::makeTlsCredentials(foreign.settings())), Transport::makeLoopbackCredentials() }) {
        auto refused = useClients(agent, credentials);
        cr_assert_not(refused.hasStatus);
        cr_assert(refused.attempt == "closed", "%s", refused.attempt.c_str());
        cr_assert(refused.chunk == "failed");
    }
}

// Guards against plain-text connections that the settings do not allow. Only LoopbackCredentials.cpp may use gRPC's
// insecure credentials.
Test(Clients, onlyLoopbackCredentialsUsePlainText)
{
    for (auto& entry : std::filesystem::recursive_directory_iterator(LAVENDERLOFT_SOURCE_DIR "/Source")) {
        if (!entry.is_regular_file() || entry.path().filename() == "LoopbackCredentials.cpp")
            continue;
        std::ifstream file(entry.path());
        std::string text(std::istreambuf_iterator<char>(file), {});
        cr_expect(text.find("InsecureServerCredentials") == std::string::npos && text.find("InsecureChannelCredentials") == std::string::npos, "%s", entry.path().c_str());
    }
}
