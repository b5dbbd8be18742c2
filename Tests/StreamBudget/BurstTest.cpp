#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Bench/BenchFleet.h"
#include "Bench/FakeAgent.h"
#include "Bench/FakeControl.h"
#include "Http/HttpClient.h"
#include "Process/RouterBuilder.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace std::chrono_literals;

// Callers that read must not be aborted as slow readers. A part in flight for less than a millisecond does not indicate a
// slow reader, even if more parts are in flight than fit into the budget.
Test(StreamBudget, doesNotAbortCallersThatRead)
{
    constexpr unsigned callers = 24;
    constexpr uint64_t budgetBytes = 256 * 1024;
    Bench::FakeAgentOptions options;
    options.limit = callers;
    options.weightsDigest = Bench::benchDigest;
    options.parts = 300;
    options.partBytes = 80;
    Bench::FakeAgent agent(options);
    Bench::FakeControl control(Bench::makeRouterMember("router-1", "dc-1"));
    control.setDocument(Bench::makeDocument({ "dc-1" }, { "assistant" }));
    control.setMembers({ Bench::makeAgentMember("agent-1", agent.address(), "dc-1", "assistant", { 0, callers, 0, 0, true }) });
    Base::SystemClock clock;
    Observability::Metrics metrics;
    auto router = Process::RouterBuilder(Bench::makeRouterSettings("router-1", budgetBytes), control, clock, metrics).random(std::make_shared<Base::SeededRandom>(7)).build();

    Http::HttpClient client { 2 };
    std::vector<std::future<bool>> responses;
    for (unsigned i = 0; i < callers; ++i) {
        responses.push_back(std::async(std::launch::async, [&, i] {
            Http::HttpRequest request { "POST", "/assistant", {}, "request " + std::to_string(i) };
            auto response = client.fetch({ "127.0.0.1", router->callersPort() }, request, 60s);
            return Base::succeeded(response) && Base::valueOf(response).status == 200;
        }));
    }
    unsigned complete = 0;
    for (auto& response : responses)
        complete += response.get();
    cr_assert_eq(router->abortedStreams(), 0, "%lu callers that read were aborted", static_cast<unsigned long>(router->abortedStreams()));
    cr_assert_eq(complete, callers);
}
