#include "EndToEnd/TestFleet.h"

#include <atomic>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

constexpr unsigned replicas = 2;
constexpr unsigned tokens = 400;

// A caller that counts the bytes received while its response is streamed.
class StreamingCaller final : public Http::ResponseSink {
public:
    void head(unsigned status, Http::HttpHeaders headers) override
    {
        m_response.status = status;
        m_response.headers = std::move(headers);
    }

    void data(std::string bytes, std::function<void()> resume) override
    {
        m_response.body += bytes;
        m_receivedBytes += bytes.size();
        resume();
    }

    void end(Base::Result<Base::Done, Http::HttpError> result) override
    {
        m_isComplete = Base::succeeded(result);
        m_hasEnded = true;
    }

    size_t receivedBytes() const { return m_receivedBytes; }
    bool hasEnded() const { return m_hasEnded; }

    // Requires hasEnded().
    bool isComplete(const std::string& identifier) const { return m_isComplete && Testing::isComplete(m_response, identifier, tokens); }
    const std::string& body() const { return m_response.body; }

private:
    Response m_response;
    std::atomic<size_t> m_receivedBytes { 0 };
    std::atomic<bool> m_isComplete { false };
    std::atomic<bool> m_hasEnded { false };
};

struct ResumeFixture {
    ResumeFixture()
    {
        auto digest = fleet.addVersion("1");
        fleet.declarePool(digest, replicas)["coldLimit"] = 8;
        fleet.publish();
        router = fleet.startRouter("router-1", "dc-1");
        for (unsigned i = 0; i < replicas; ++i) {
            engines.push_back(std::make_unique<Standin::ModelEngine>(Standin::EngineOptions {}));
            agents.push_back(fleet.startModelAgent("agent-" + std::to_string(i), "dc-1", *engines.back()));
        }
        fleet.waitForReplicas(*router, digest, replicas);
        fleet.waitForResponse(*router);
    }

    std::shared_ptr<StreamingCaller> startCaller(const std::string& identifier)
    {
        auto caller = std::make_shared<StreamingCaller>();
        auto body = nlohmann::json { { "prompt", identifier }, { "maxTokens", tokens } }.dump();
        client.send(router->callers(), { "POST", "/assistant", { { "Content-Type", "application/json" } }, body }, std::chrono::seconds(60), caller);
        return caller;
    }

    size_t findBusyEngine() const
    {
        for (size_t i = 0; i < engines.size(); ++i) {
            if (engines[i]->status().running)
                return i;
        }
        return engines.size();
    }

    TestFleet fleet;
    std::unique_ptr<TestRouter> router;
    std::vector<std::unique_ptr<Standin::ModelEngine>> engines;
    std::vector<std::unique_ptr<TestAgent>> agents;
    Http::HttpClient client;
};

void requireCompleteAfter(ResumeFixture& fixture, const std::function<void(size_t)>& stop)
{
    auto caller = fixture.startCaller("stream-1");
    waitUntil("the caller to receive tokens", [&] { return caller->receivedBytes() > 0; });
    auto busy = fixture.findBusyEngine();
    cr_assert_lt(busy, replicas, "the response ended before its engine could be stopped");
    stop(busy);
    waitUntil("the response to end", [&] { return caller->hasEnded(); });
    cr_assert(caller->isComplete("stream-1"), "%s", caller->body().c_str());
    cr_assert_geq(fixture.engines[1 - busy]->counters().completed, 1, "the other engine must have completed the response");
}

} // namespace

// Guards against a truncated, repeated or interleaved response when its engine crashes after the caller has received
// a part.
Test(Resume, engineCrashesDuringTheResponse)
{
    ResumeFixture fixture;
    requireCompleteAfter(fixture, [&](size_t busy) { fixture.engines[busy]->crash(); });
    cr_assert_eq(fixture.router->process().crashReports().size(), 1, "the crash must be reported although the response was resumed");
}

// Guards against losing a response whose agent dies after the caller has received a part.
Test(Resume, agentDiesDuringTheResponse)
{
    ResumeFixture fixture;
    requireCompleteAfter(fixture, [&](size_t busy) { fixture.agents[busy].reset(); });
}
