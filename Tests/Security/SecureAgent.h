#pragma once

#include "Process/AgentBuilder.h"
#include "Security/TestAuthority.h"
#include "Transport/AgentFixture.h"
#include "Transport/ControlServiceServer.h"
#include "Transport/WeightServiceServer.h"
#include "Weights/InterRegionLimiter.h"

#include <atomic>
#include <thread>

namespace Lavenderloft::Testing {

// Counts the calls that pass the handshake and reach ControlService.
class CountingControlHandler final : public Membership::ControlHandler {
public:
    Membership::GossipMessage exchange(const Membership::GossipMessage&) override
    {
        ++calls;
        return {};
    }

    Membership::DocumentReply documentFor(const std::string&) override
    {
        ++calls;
        return { "document", {}, "digest" };
    }

    Membership::FleetStatus fleetStatus() override
    {
        ++calls;
        Membership::FleetStatus status;
        status.self.vm = "vm-1";
        return status;
    }

    std::atomic<int> calls { 0 };
};

// An agent of a plain service whose inner port serves all three gRPC services over mutual TLS.
struct SecureAgent {
    static inline const std::string chunkDigest = std::string(64, 'c');
    static inline const std::string chunkBytes = "weights";

    explicit SecureAgent(const Settings::TlsSettings& tls)
        : target(std::make_shared<ScriptedTarget>())
        , targetServer({}, target)
    {
        DesiredState::Document document;
        document.services.push_back({ "ledger", { "vm-1" }, 16 });
        control.setDocument(document);
        state->chunks.chunks.set(chunkDigest, { std::make_shared<const std::string>(chunkBytes), chunkBytes.size(), {} });
        Settings::ProcessSettings settings;
        settings.vm = "vm-1";
        settings.inner = "127.0.0.1:0";
        settings.admin = "127.0.0.1:0";
        settings.tls = tls;
        settings.target = Settings::TargetSettings { Settings::TargetKind::Service, "127.0.0.1:" + std::to_string(targetServer.port()), "ledger" };
        auto built = Process::AgentBuilder().settings(settings).control(control).weights(weights).clock(clock).random(random).metrics(metrics).service(controlService.service()).service(weightService.service()).build();
        agent = Base::takeValue(std::move(built));
        thread = std::thread([this] { agent->run(); });
        control.waitFor([](const Membership::Member& self) { return self.load.accepting && self.load.limit > 0; });
    }

    ~SecureAgent()
    {
        agent->requestStop();
        thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(agent->innerPort()); }

    std::shared_ptr<ScriptedTarget> target;
    Http::HttpServer targetServer;
    Base::ManualClock clock;
    FakeControl control;
    FakeWeights weights;
    Base::SeededRandom random { 1 };
    Observability::Metrics metrics;
    CountingControlHandler handler;
    Transport::ControlServiceServer controlService { handler };
    std::shared_ptr<Weights::WeightState> state = std::make_shared<Weights::WeightState>(1024 * 1024);
    Transport::WeightServiceServer weightService { state, std::make_shared<Weights::InterRegionLimiter>("r-1", 1e9), clock, "r-1" };
    std::unique_ptr<Process::AgentProcess> agent;
    std::thread thread;
};

} // namespace Lavenderloft::Testing
