#include "Standin/ModelEngine.h"
#include "Http/HttpClient.h"
#include "Standin/Queries/EngineQueries.h"
#include "Standin/TokenText.h"

#include <criterion/criterion.h>
#include <future>
#include <sstream>
#include <thread>

using namespace Lavenderloft;
using namespace std::chrono_literals;

namespace {

constexpr auto requestTimeout = 20s;

Standin::SyntheticModel makeModel(const std::string& version)
{
    return Base::takeValue(Standin::SyntheticModel::generate({ { "assistant", version, 100'000, 16'384 }, 7, 0 }));
}

// An engine with a client.
class EngineFixture {
public:
    explicit EngineFixture(const Standin::EngineBehaviour& behaviour = {})
        : engine({ { "127.0.0.1", 0 }, behaviour })
    {
    }

    // Returns the status of the response, or 0 if the request failed.
    unsigned send(const std::string& method, const std::string& target, const std::string& body, uint64_t fence = 0)
    {
        auto response = client.fetch({ "127.0.0.1", engine.port() }, { method, target, { { "X-Fence", std::to_string(fence) } }, body }, requestTimeout);
        return Base::succeeded(response) ? Base::valueOf(response).status : 0;
    }

    void sendWeights(const Standin::SyntheticModel& model, uint64_t fence)
    {
        for (size_t i = 0; i < model.chunkDigests().size(); ++i)
            cr_assert_eq(send("PUT", "/engine/weights/" + model.digest() + "/" + std::to_string(i), model.chunk(i), fence), 204);
    }

    unsigned sendOrder(const std::string& digest, uint64_t fence, const std::string& order = "load")
    {
        return send("POST", "/engine/orders", R"({"order":")" + order + R"(","fence":)" + std::to_string(fence) + R"(,"digest":")" + digest + "\"}");
    }

    Base::Result<Http::HttpResponse, Http::HttpError> generate(const std::string& prompt, unsigned maxTokens, Http::HttpHeaders headers = {})
    {
        auto body = R"({"prompt":")" + prompt + R"(","maxTokens":)" + std::to_string(maxTokens) + "}";
        return client.fetch({ "127.0.0.1", engine.port() }, { "POST", "/engine/generate", std::move(headers), body }, requestTimeout);
    }

    void waitFor(Standin::EngineMode mode)
    {
        while (engine.status().mode != mode)
            std::this_thread::sleep_for(1ms);
    }

    Standin::ModelEngine engine;
    Http::HttpClient client;
};

std::vector<std::string> splitLines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream input(text);
    for (std::string line; std::getline(input, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

// Guards against an engine that serves weights other than those that it received completely.
Test(ModelEngine, loadsOnlyWeightsWithOrderedDigest)
{
    EngineFixture fixture;
    auto model = makeModel("1");
    cr_assert_eq(fixture.sendOrder(model.digest(), 1), 422);
    fixture.sendWeights(model, 1);
    cr_assert_eq(fixture.sendOrder(makeModel("2").digest(), 1), 422);
    cr_assert_eq(fixture.send("PUT", "/engine/weights/" + model.digest() + "/3", model.chunk(3), 1), 422);
    cr_assert_eq(fixture.sendOrder(model.digest(), 1), 202);
    fixture.waitFor(Standin::EngineMode::Ready);
    cr_assert(fixture.engine.status().digest == model.digest());
    auto response = Base::valueOf(fixture.generate("r-17 hello", 5));
    cr_assert(Http::headerValue(response.headers, "X-Weights-Digest") == model.digest());
    auto lines = splitLines(response.body);
    cr_assert_eq(lines.size(), 6);
    for (unsigned i = 0; i < 5; ++i) {
        auto token = Standin::parseToken(lines[i]);
        cr_assert(token && token->identifier == "r-17" && token->number == i);
        cr_assert(model.digest().starts_with(token->digestPrefix));
    }
    cr_assert(lines[5] == Standin::endOfResponse);
}

// Guards against a stand-in that resumes at another token than it reports, which would hide faults of the router.
Test(ModelEngine, resumesAtRequestedToken)
{
    EngineFixture fixture;
    auto model = makeModel("1");
    fixture.sendWeights(model, 1);
    cr_assert_eq(fixture.sendOrder(model.digest(), 1), 202);
    fixture.waitFor(Standin::EngineMode::Ready);
    auto response = Base::valueOf(fixture.generate("r-17 hello", 5, { { "X-Resume-From", "3" } }));
    cr_assert(Http::headerValue(response.headers, "X-Resumed-From") == "3");
    auto lines = splitLines(response.body);
    cr_assert_eq(lines.size(), 3);
    cr_assert_eq(Standin::parseToken(lines[0])->number, 3);
    cr_assert(lines[2] == Standin::endOfResponse);
    cr_assert_eq(Base::valueOf(fixture.generate("r-17 hello", 5, { { "X-Resume-From", "three" } })).status, 400);
}

// Guards against a manifest that is accepted without verification, and against chunks that do not match it.
Test(ModelEngine, verifiesChunksAgainstManifest)
{
    EngineFixture fixture;
    auto model = makeModel("1");
    auto other = makeModel("2");
    auto path = "/engine/weights/" + model.digest() + "/";
    cr_assert_eq(fixture.send("PUT", path + "manifest", other.manifest(), 1), 422);
    cr_assert_eq(fixture.send("PUT", path + "manifest", model.manifest(), 1), 204);
    cr_assert_eq(fixture.send("PUT", path + "0", other.chunk(0), 1), 422);
    cr_assert_eq(fixture.sendOrder(model.digest(), 1), 422);
    fixture.sendWeights(model, 1);
    cr_assert_eq(fixture.sendOrder(model.digest(), 1), 202);
    fixture.waitFor(Standin::EngineMode::Ready);
    cr_assert(fixture.engine.status().digest == model.digest());
}

// Guards against an engine that checks fencing tokens although this is switched off, and the reverse.
Test(ModelEngine, checksFencingTokensOnlyIfEnabled)
{
    EngineFixture fixture;
    auto model = makeModel("1");
    fixture.sendWeights(model, 9);
    cr_assert_eq(fixture.sendOrder(model.digest(), 8), 409);
    auto behaviour = fixture.engine.behaviour();
    behaviour.checksFence = false;
    fixture.engine.setBehaviour(behaviour);
    cr_assert_eq(fixture.sendOrder(model.digest(), 8), 202);
    cr_assert_eq(fixture.engine.status().highestFence, 9);
}

// Guards against a cold engine that survives an overload that tests expect to crash it.
Test(ModelEngine, crashesAboveColdLimit)
{
    Standin::EngineBehaviour behaviour;
    behaviour.coldTime = 1h;
    behaviour.coldLimit = 2;
    EngineFixture fixture(behaviour);
    auto model = makeModel("1");
    fixture.sendWeights(model, 1);
    cr_assert_eq(fixture.sendOrder(model.digest(), 1), 202);
    fixture.waitFor(Standin::EngineMode::Cold);
    auto incarnation = fixture.engine.status().incarnation;
    std::vector<std::future<bool>> responses;
    for (int i = 0; i < 3; ++i) {
        while (fixture.engine.counters().started < static_cast<uint64_t>(i))
            std::this_thread::sleep_for(1ms);
        responses.push_back(std::async(std::launch::async, [&] { return Base::succeeded(fixture.generate("x", 1'000'000)); }));
    }
    for (auto& response : responses)
        cr_assert_not(response.get());
    cr_assert_eq(fixture.engine.counters().crashes, 1);
    cr_assert(fixture.engine.status().incarnation != incarnation);
    cr_assert(fixture.engine.status().mode == Standin::EngineMode::Empty);
    cr_assert_eq(fixture.engine.status().highestFence, 0);
}

// Guards against mixed weights that a caller could not detect in the response.
Test(ModelEngine, exposesWeightChangeDuringResponse)
{
    EngineFixture fixture;
    auto first = makeModel("1");
    auto second = makeModel("2");
    fixture.sendWeights(first, 1);
    fixture.sendOrder(first.digest(), 1);
    fixture.waitFor(Standin::EngineMode::Ready);
    auto response = std::async(std::launch::async, [&] { return fixture.generate("x", 200); });
    while (fixture.engine.status().memoryBytes < 10'000)
        std::this_thread::sleep_for(1ms);
    fixture.sendWeights(second, 2);
    fixture.sendOrder(second.digest(), 2);
    auto lines = splitLines(Base::valueOf(response.get()).body);
    cr_assert_eq(lines.size(), 201);
    cr_assert(first.digest().starts_with(Standin::parseToken(lines[0])->digestPrefix));
    cr_assert(second.digest().starts_with(Standin::parseToken(lines[199])->digestPrefix));
}

// Guards against an adapter that is listed before its bytes arrived, that outlives its base model, or whose responses
// cannot be distinguished from those of the base model.
Test(ModelEngine, servesRequestedAdapter)
{
    EngineFixture fixture;
    auto base = makeModel("1");
    auto adapter = makeModel("adapter");
    fixture.sendWeights(adapter, 1);
    cr_assert_eq(fixture.sendOrder(adapter.digest(), 1, "loadAdapter"), 503);
    fixture.sendWeights(base, 2);
    fixture.sendOrder(base.digest(), 2);
    fixture.waitFor(Standin::EngineMode::Ready);
    cr_assert_eq(fixture.sendOrder(adapter.digest(), 3, "loadAdapter"), 422);
    fixture.sendWeights(adapter, 3);
    cr_assert_eq(fixture.sendOrder(adapter.digest(), 2, "loadAdapter"), 409);
    cr_assert_eq(Base::valueOf(fixture.generate("x", 1, { { "X-Adapter", adapter.digest() } })).status, 503);
    cr_assert_eq(fixture.sendOrder(adapter.digest(), 3, "loadAdapter"), 202);
    cr_assert(fixture.engine.status().adapters == std::set<std::string> { adapter.digest() });
    auto response = Base::valueOf(fixture.generate("x", 1, { { "X-Adapter", adapter.digest() } }));
    cr_assert(Http::headerValue(response.headers, "X-Adapter-Digest") == adapter.digest());
    cr_assert(response.body.starts_with(base.digest().substr(0, 12) + "+" + adapter.digest().substr(0, 12) + " x 0\n"));
    cr_assert(Base::valueOf(fixture.generate("x", 1)).body.starts_with(base.digest().substr(0, 12) + " x 0\n"));
    cr_assert_eq(fixture.sendOrder(adapter.digest(), 4, "unloadAdapter"), 202);
    cr_assert_eq(Base::valueOf(fixture.generate("x", 1, { { "X-Adapter", adapter.digest() } })).status, 503);
    fixture.sendWeights(adapter, 5);
    fixture.sendOrder(adapter.digest(), 5, "loadAdapter");
    auto other = makeModel("2");
    fixture.sendWeights(other, 6);
    fixture.sendOrder(other.digest(), 6);
    cr_assert(fixture.engine.status().adapters.empty());
}

// Guards against a crash marker without effect, and against a memory limit that is not enforced.
Test(ModelEngine, crashesOnMarkerAndAboveMemoryLimit)
{
    Standin::EngineBehaviour behaviour;
    behaviour.crashMarker = "poison";
    EngineFixture fixture(behaviour);
    auto model = makeModel("1");
    fixture.sendWeights(model, 1);
    fixture.sendOrder(model.digest(), 1);
    fixture.waitFor(Standin::EngineMode::Ready);
    cr_assert_not(Base::succeeded(fixture.generate("r poison", 5)));
    cr_assert_eq(fixture.engine.counters().crashes, 1);

    fixture.sendWeights(model, 1);
    fixture.sendOrder(model.digest(), 1);
    fixture.waitFor(Standin::EngineMode::Ready);
    behaviour.memoryLimitBytes = 20 * behaviour.bytesPerToken;
    fixture.engine.setBehaviour(behaviour);
    cr_assert(Base::succeeded(fixture.generate("r", 10)));
    cr_assert_not(Base::succeeded(fixture.generate("r", 30)));
    cr_assert_eq(fixture.engine.counters().crashes, 2);
}

// Guards against a scheduler that ignores priorities.
Test(ModelEngine, runsHigherPrioritiesFirst)
{
    Standin::EngineState state;
    state.model.behaviour.maximumBatch = 2;
    for (int priority : { 0, 2, 1 }) {
        auto generation = std::make_shared<Standin::Generation>();
        generation->number = static_cast<uint64_t>(10 - priority);
        generation->request.priority = priority;
        state.generations.set(generation->number, generation);
    }
    auto batch = Standin::Queries::nextBatch(state);
    cr_assert_eq(batch.size(), 2);
    cr_assert_eq(batch[0]->request.priority, 2);
    cr_assert_eq(batch[1]->request.priority, 1);
}
