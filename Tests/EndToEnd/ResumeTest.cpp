#include "EndToEnd/TestFleet.h"

#include <atomic>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

constexpr unsigned replicas = 2;
constexpr unsigned tokens = 400;

// A caller that shows how much it has received while its answer runs.
class StreamingCaller final : public Http::ResponseSink {
public:
    void head(unsigned status, Http::HttpHeaders headers) override
    {
        m_answer.status = status;
        m_answer.headers = std::move(headers);
    }

    void data(std::string bytes, std::function<void()> resume) override
    {
        m_answer.body += bytes;
        m_receivedBytes += bytes.size();
        resume();
    }

    void end(Base::Result<Base::Done, Http::HttpError> result) override
    {
        m_isWhole = Base::succeeded(result);
        m_hasEnded = true;
    }

    size_t receivedBytes() const { return m_receivedBytes; }
    bool hasEnded() const { return m_hasEnded; }

    // To be called after the end.
    bool isWhole(const std::string& identifier) const { return m_isWhole && Testing::isWhole(m_answer, identifier, tokens); }
    const std::string& body() const { return m_answer.body; }

private:
    Answer m_answer;
    std::atomic<size_t> m_receivedBytes { 0 };
    std::atomic<bool> m_isWhole { false };
    std::atomic<bool> m_hasEnded { false };
};

struct ResumeFleet {
    ResumeFleet()
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
        fleet.waitForAnswer(*router);
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

void requireWholeAfter(ResumeFleet& parts, const std::function<void(size_t)>& stop)
{
    auto caller = parts.startCaller("stream-1");
    waitUntil("tokens at the caller", [&] { return caller->receivedBytes() > 0; });
    auto busy = parts.findBusyEngine();
    cr_assert_lt(busy, replicas, "the answer must be under way");
    stop(busy);
    waitUntil("the end of the answer", [&] { return caller->hasEnded(); });
    cr_assert(caller->isWhole("stream-1"), "%s", caller->body().c_str());
    cr_assert_geq(parts.engines[1 - busy]->counters().completed, 1, "the other engine must have ended the answer");
}

} // namespace

// Guards against an answer that is cut, repeated or mixed when its engine dies after the caller has received a part.
Test(Resume, engineDiesDuringTheAnswer)
{
    ResumeFleet parts;
    requireWholeAfter(parts, [&](size_t busy) { parts.engines[busy]->crash(); });
    cr_assert_eq(parts.router->process().crashReports().size(), 1, "the crash must count as evidence although the answer was resumed");
}

// Guards against an answer that is lost with the VM of its agent after the caller has received a part.
Test(Resume, agentDiesDuringTheAnswer)
{
    ResumeFleet parts;
    requireWholeAfter(parts, [&](size_t busy) { parts.agents[busy].reset(); });
}
