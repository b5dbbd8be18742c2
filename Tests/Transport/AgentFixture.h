#pragma once

#include "Base/SeededRandom.h"
#include "Process/AgentBuilder.h"
#include "Transport/FakeEngine.h"
#include "Transport/TargetFixture.h"

#include <thread>

namespace Lavenderloft::Testing {

// A control plane that a test sets by hand.
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

    // Waits until what the agent publishes has the property.
    void waitFor(const std::function<bool(const Membership::Member&)>& property)
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return property(m_self); });
    }

private:
    mutable std::mutex m_lock;
    std::condition_variable m_changed;
    Membership::Member m_self;
    std::shared_ptr<const DesiredState::Document> m_document;
    std::atomic<bool> m_isSynchronised { true };
};

// Weights that are all held, three chunks for each version.
class FakeWeights final : public Weights::WeightProvider {
public:
    void setWanted(const std::vector<Weights::WantedManifest>&) override { }

    Weights::TransferProgress progress(const std::string&) const override { return { Weights::TransferStatus::Complete, 3, 3, {} }; }

    std::shared_ptr<const std::string> manifestBytes(const std::string& digest) const override { return std::make_shared<std::string>("manifest of " + digest); }

    std::shared_ptr<const std::string> chunk(const std::string& digest, unsigned index) const override { return std::make_shared<std::string>(digest + "-" + std::to_string(index)); }
};

// Notes crash evidence.
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

// A whole agent on loopback beside a fake engine, with pool "assistant". Its clock moves with its polls, so
// that a slow machine is not taken for a pause, and stands still once the agent serves, so that permits last.
struct AgentFixture {
    AgentFixture()
        : engine(std::make_shared<FakeEngine>([this] { passTime(); }))
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

    // Threads for polls and requests that the engine holds.
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

    void passTime()
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

    // Status of the answer on the admin port.
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
