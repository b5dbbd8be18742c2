#pragma once

#include "Base/SeededRandom.h"
#include "Process/AgentBuilder.h"
#include "Transport/FakeEngine.h"
#include "Transport/TargetFixture.h"

#include <thread>

namespace Lavenderloft::Testing {

// A control plane whose state is set by the test.
class FakeControl final : public Process::ControlView {
public:
    FakeControl()
    {
        m_self.vm = "vm-1";
        m_self.dataCentre = "dc-1";
        m_self.role = Membership::Role::Agent;
        m_self.incarnation = 77;
    }

    std::shared_ptr<const DesiredState::Document> document() const override
    {
        std::lock_guard guard(m_lock);
        return m_document;
    }

    std::vector<Membership::Member> members() const override { return { self() }; }

    Membership::Member self() const override
    {
        std::lock_guard guard(m_lock);
        return m_self;
    }

    bool isSynchronised() const override { return m_isSynchronised; }

    void publish(const Membership::TargetLoad& load, const std::vector<Membership::Replica>& replicas) override
    {
        std::lock_guard guard(m_lock);
        m_self.load = load;
        m_self.replicas = replicas;
        m_changed.notify_all();
    }

    void publishLeaving() override
    {
        std::lock_guard guard(m_lock);
        m_self.status = Membership::Status::Leaving;
        m_changed.notify_all();
    }

    void onChange(std::function<void()>) override { }

    void setDocument(DesiredState::Document document)
    {
        std::lock_guard guard(m_lock);
        m_document = std::make_shared<DesiredState::Document>(std::move(document));
    }

    void setSynchronised(bool isSynchronised) { m_isSynchronised = isSynchronised; }

    // Waits until the state that the agent publishes satisfies the predicate.
    void waitFor(const std::function<bool(const Membership::Member&)>& predicate)
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return predicate(m_self); });
    }

private:
    mutable std::mutex m_lock;
    std::condition_variable m_changed;
    Membership::Member m_self;
    std::shared_ptr<const DesiredState::Document> m_document;
    std::atomic<bool> m_isSynchronised { true };
};

// Provides complete weights of three chunks for every digest.
class FakeWeights final : public Weights::WeightProvider {
public:
    void setWanted(const std::vector<Weights::WantedManifest>&) override { }

    Weights::TransferProgress progress(const std::string&) const override { return { Weights::TransferStatus::Complete, 3, 3, {} }; }

    std::shared_ptr<const std::string> manifestBytes(const std::string& digest) const override { return std::make_shared<std::string>("manifest of " + digest); }

    std::shared_ptr<const std::string> chunk(const std::string& digest, unsigned index) const override { return std::make_shared<std::string>(digest + "-" + std::to_string(index)); }
};

// Records crash evidence.
class RecordingCrashObserver final : public Admission::CrashObserver {
public:
    void engineCrashed(const std::vector<uint64_t>& fingerprints) override
    {
        std::lock_guard guard(m_lock);
        m_fingerprints = fingerprints;
        m_changed.notify_all();
    }

    std::vector<uint64_t> waitForEvidence()
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return !m_fingerprints.empty(); });
        return m_fingerprints;
    }

private:
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::vector<uint64_t> m_fingerprints;
};

// An agent process on loopback with a fake engine and the pool "assistant". Each status poll advances the clock,
// so that a slow machine is not mistaken for a pause of the process. The clock is stopped while the agent serves,
// so that permits do not expire.
struct AgentFixture {
    AgentFixture()
        : engine(std::make_shared<FakeEngine>([this] { advanceClock(); }))
        , engineServer(engineOptions(), engine)
    {
        control.setDocument(makeDocument("v1"));
        Settings::ProcessSettings settings;
        settings.vm = "vm-1";
        settings.dataCentre = "dc-1";
        settings.inner = "127.0.0.1:0";
        settings.plainTextOnLoopback = true;
        settings.admin = "127.0.0.1:0";
        settings.target = Settings::TargetSettings { Settings::TargetKind::Model, "127.0.0.1:" + std::to_string(engineServer.port()), {} };
        auto built = Process::AgentBuilder().settings(settings).control(control).weights(weights).clock(clock).random(random).metrics(metrics).crashObserver(crashObserver).build();
        agent = Base::takeValue(std::move(built));
        stub = protocol::TargetService::NewStub(grpc::CreateChannel("127.0.0.1:" + std::to_string(agent->innerPort()), grpc::InsecureChannelCredentials()));
        thread = std::thread([this] { agent->run(); });
    }

    ~AgentFixture()
    {
        isClockRunning = true;
        engine->hold(false);
        agent->requestStop();
        if (thread.joinable())
            thread.join();
    }

    // Enough threads for polls and requests that the engine blocks.
    static Http::HttpServerOptions engineOptions()
    {
        Http::HttpServerOptions options;
        options.threads = 8;
        return options;
    }

    static DesiredState::Document makeDocument(const std::string& version)
    {
        DesiredState::Document document;
        document.dataCentres.push_back({ "dc-1", "region", DesiredState::DataCentreState::In });
        DesiredState::Pool pool;
        pool.name = "assistant";
        pool.manifest = version;
        pool.replicas = 1;
        pool.coldLimit = 2;
        document.pools.push_back(pool);
        return document;
    }

    static protocol::Admit makeAdmit(const std::string& attemptId, const std::string& digest)
    {
        auto admit = RouterCall::makeAdmit(attemptId, "", 5);
        admit.set_pool("assistant");
        admit.set_weights_digest(digest);
        return admit;
    }

    void advanceClock()
    {
        if (isClockRunning)
            clock.advance(std::chrono::milliseconds(250));
    }

    void waitUntilServing(const std::string& digest)
    {
        isClockRunning = true;
        control.waitFor([&](const Membership::Member& self) {
            return self.load.accepting && self.load.limit > 0 && !self.replicas.empty() && self.replicas.front().servingDigest == digest && self.replicas.front().phase == Membership::ReplicaPhase::Ready;
        });
        isClockRunning = false;
    }

    // Waits until the agent reports these adapters.
    void waitUntilAdapters(const std::vector<std::string>& adapters)
    {
        isClockRunning = true;
        control.waitFor([&](const Membership::Member& self) { return self.load.accepting && !self.replicas.empty() && self.replicas.front().adapters == adapters; });
        isClockRunning = false;
    }

    // The HTTP status of a response on the admin port.
    unsigned fetchStatus(const std::string& path)
    {
        Http::HttpClient client;
        Http::HttpRequest request;
        request.target = path;
        auto response = client.fetch({ "127.0.0.1", agent->adminPort() }, request, std::chrono::seconds(60));
        return Base::succeeded(response) ? Base::valueOf(response).status : 0;
    }

    Base::ManualClock clock;
    std::atomic<bool> isClockRunning { true };
    std::shared_ptr<FakeEngine> engine;
    Http::HttpServer engineServer;
    FakeControl control;
    FakeWeights weights;
    Base::SeededRandom random { 1 };
    Observability::Metrics metrics;
    RecordingCrashObserver crashObserver;
    std::unique_ptr<Process::AgentProcess> agent;
    std::unique_ptr<protocol::TargetService::Stub> stub;
    std::thread thread;
};

} // namespace Lavenderloft::Testing
