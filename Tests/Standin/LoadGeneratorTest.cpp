#include "Standin/LoadGenerator.h"
#include "Http/HttpClient.h"
#include "Standin/ModelEngine.h"
#include "Standin/ResponseValidator.h"
#include "Standin/TokenText.h"

#include <criterion/criterion.h>
#include <thread>

using namespace Lavenderloft;
using namespace std::chrono_literals;

namespace {

constexpr auto requestTimeout = 20s;

Standin::SyntheticModel makeModel(const std::string& version)
{
    return Base::takeValue(Standin::SyntheticModel::generate({ { "assistant", version, 100'000, 16'384 }, 7, 0 }));
}

void load(Standin::ModelEngine& engine, const Standin::SyntheticModel& model)
{
    Http::HttpClient client;
    Http::Endpoint endpoint { "127.0.0.1", engine.port() };
    for (size_t i = 0; i < model.chunkDigests().size(); ++i)
        client.fetch(endpoint, { "PUT", "/engine/weights/" + model.digest() + "/" + std::to_string(i), { { "X-Fence", "1" } }, model.chunk(i) }, requestTimeout);
    client.fetch(endpoint, { "POST", "/engine/orders", {}, R"({"order":"load","fence":1,"digest":")" + model.digest() + "\"}" }, requestTimeout);
    while (engine.status().mode != Standin::EngineMode::Ready)
        std::this_thread::sleep_for(1ms);
}

Standin::ResponseVerdict validate(const std::string& response)
{
    Standin::ResponseValidator validator("a", 2);
    validator.setDigest("0123456789abcdef");
    validator.add(response.substr(0, 5));
    validator.add(response.substr(5));
    return validator.verdict();
}

} // namespace

// Guards against a load generator that counts an invalid response as complete.
Test(LoadGenerator, classifiesInvalidResponses)
{
    using Standin::ResponseVerdict;
    cr_assert(validate("0123456789ab a 0\n0123456789ab a 1\n[DONE]\n") == ResponseVerdict::Complete);
    cr_assert(validate("0123456789ab a 0\n0123456789ab a 1\n") == ResponseVerdict::Incomplete);
    cr_assert(validate("0123456789ab a 0\n[DONE]\n") == ResponseVerdict::Incomplete);
    cr_assert(validate("0123456789ab a 1\n0123456789ab a 0\n[DONE]\n") == ResponseVerdict::Incomplete);
    cr_assert(validate("0123456789ab a 0\n0123456789ab a 1\n[DONE]\nmore") == ResponseVerdict::Incomplete);
    cr_assert(validate("0123456789ab a 0\nfedcba987654 a 1\n[DONE]\n") == ResponseVerdict::MixedWeights);
    cr_assert(validate("0123456789ab a 0\n0123456789ab b 1\n[DONE]\n") == ResponseVerdict::WrongRequest);
}

// Guards against requests that are missing in the summary, and against two versions that are counted as one.
Test(LoadGenerator, accountsForEveryRequest)
{
    Standin::ModelEngine first({});
    Standin::ModelEngine second({});
    Standin::ModelEngine empty({});
    auto oldModel = makeModel("1");
    auto newModel = makeModel("2");
    load(first, oldModel);
    load(second, newModel);
    Standin::LoadOptions options;
    options.path = "/engine/generate";
    options.tokens = 4;
    options.errorPause = 1ms;
    for (auto port : { first.port(), second.port(), empty.port() })
        options.routers.push_back({ "127.0.0.1", port });
    Standin::LoadGenerator generator(options);
    generator.start();
    while (generator.summary().sent < 200)
        std::this_thread::sleep_for(1ms);
    auto summary = generator.finish();
    cr_assert_not(summary.hasInvariantViolation());
    cr_assert_eq(summary.whole, summary.wholeByDigest[oldModel.digest()] + summary.wholeByDigest[newModel.digest()]);
    cr_assert_eq(summary.failedByCode["not_ready"], summary.failed());
    cr_assert_eq(summary.sent, summary.whole + summary.failed());
    cr_assert_gt(summary.failed(), 0);
    cr_assert_eq(summary.total.size(), summary.whole);
}

// Guards against responses from mixed weights that are not detected: the engine loads other weights while requests are
// running.
Test(LoadGenerator, detectsWeightChangeDuringRequests)
{
    Standin::ModelEngine engine({});
    load(engine, makeModel("1"));
    Standin::LoadOptions options;
    options.path = "/engine/generate";
    options.tokens = 200;
    options.callers = 4;
    options.routers = { { "127.0.0.1", engine.port() } };
    Standin::LoadGenerator generator(options);
    generator.start();
    while (engine.status().memoryBytes < 10'000)
        std::this_thread::sleep_for(1ms);
    load(engine, makeModel("2"));
    auto summary = generator.finish();
    cr_assert_gt(summary.mixedWeights, 0);
    cr_assert(summary.hasInvariantViolation());
}
