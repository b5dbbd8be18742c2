#pragma once

#include "EndToEnd/TestProcess.h"
#include "Http/HttpClient.h"
#include "Standin/ConfigurationService.h"
#include "Standin/LoadGenerator.h"
#include "Standin/ModelEngine.h"
#include "Standin/PlainService.h"
#include "Standin/VmList.h"
#include "Standin/WeightStore.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Lavenderloft::Testing {

// Waits for a condition; a test that waits in vain fails with the text after a time that only a hang takes.
void waitUntil(const std::string& what, const std::function<bool()>& condition);

// What a caller got.
struct Answer {
    // Zero if the connection was closed before the answer was whole.
    unsigned status = 0;
    Http::HttpHeaders headers;
    std::string body;

    // Members of the error; empty if the answer is none.
    std::string errorCode() const;
    std::string outcome() const;
};

// A handful of real routers and agents in one process, on loopback with the stand-ins of the platform.
// `desired` is the document that the next publish() gives to the configuration service.
class TestFleet {
public:
    // The data centres are in regions of their own.
    explicit TestFleet(const std::vector<std::string>& dataCentres = { "dc-1" });
    ~TestFleet();

    // Publishes `desired` with the next revision, and returns the revision.
    uint64_t publish();

    // Adds a version of the model to the weight store and returns its digest.
    std::string addVersion(const std::string& version);

    // Declares the pool "assistant" with a route "/assistant"; one replica may be out at a time.
    nlohmann::json& declarePool(const std::string& digest, unsigned replicas);

    // Declares the service "ledger" with the route "/bookings", whose calls may not be repeated.
    nlohmann::json& declareService(const std::vector<std::string>& vms);

    std::unique_ptr<TestRouter> startRouter(const std::string& vm, const std::string& dataCentre, uint64_t streamBudgetBytes = 64 * 1024 * 1024, std::shared_ptr<Routing::TargetChannels> = nullptr);
    std::unique_ptr<TestAgent> startModelAgent(const std::string& vm, const std::string& dataCentre, const Standin::ModelEngine&);
    std::unique_ptr<TestAgent> startServiceAgent(const std::string& vm, const std::string& dataCentre, const Standin::PlainService&);

    // Sets the entry of a VM in the platform's list to "leaving".
    void leave(const std::string& vm);

    // Waits until the router may send requests for the digest to so many agents.
    void waitForReplicas(TestRouter&, const std::string& digest, unsigned count);

    Answer call(const Http::Endpoint&, const std::string& path, const std::string& body, Http::HttpHeaders headers = {});
    Answer generate(const Http::Endpoint&, const std::string& prompt, unsigned tokens, const std::string& path = "/assistant");

    // Waits until the router answers a request to the pool.
    void waitForAnswer(TestRouter&);

    Standin::ConfigurationService configuration;
    Standin::VmList vmList;
    Standin::WeightStore store;
    Bench::Spread::NetworkFaults faults;
    nlohmann::json desired;

private:
    Settings::ProcessSettings makeSettings(const std::string& vm, const std::string& dataCentre) const;
    bool isAccepting(const Membership::Member&);
    void enlist(const std::string& vm, const std::string& dataCentre, const std::string& role, const std::string& address);

    std::vector<Standin::VmEntry> m_vms;
    Http::HttpClient m_client { 2 };
    Transport::ControlServiceClient m_control { Transport::makeLoopbackCredentials() };
};

// Whether the answer has every token of its own request from the version that its head names.
bool isWhole(const Answer&, const std::string& identifier, unsigned tokens);

// Callers of the pool that check every answer.
Standin::LoadOptions makeLoad(const std::vector<Http::Endpoint>& routers, unsigned callers, unsigned tokens);

// Fails the test unless every request of the load got its own whole answer from one version.
void requireAllWhole(const Standin::LoadSummary&);

} // namespace Lavenderloft::Testing
