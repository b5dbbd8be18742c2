#include "platform/EngineModelDecoder.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Platform;
using namespace std::chrono_literals;

namespace {

const std::string complete = R"({"layers":16,"step_ms":9.5,"per_seq_ms":0.4,"context_per_k":0.25,"read_per_s":8000,"pairs_per_m":2.5,
    "chunk":512,"stride":4,"usual":{"prompt":1500,"answer":180},"report_lag_ms":250,"delays":{"a":{"b":1.5,"c":"far"},"d":7}})";

std::shared_ptr<const Scheduling::EngineModel> decodeWith(const std::string& name, const nlohmann::json& value)
{
    auto engine = nlohmann::json::parse(complete);
    engine[name] = value;
    return decodeEngineModel(engine);
}

} // namespace

// Guards against fields that are misread.
Test(EngineModelDecoder, readsTheSpeed)
{
    auto model = decodeEngineModel(nlohmann::json::parse(complete));
    cr_assert(model);
    auto& parameters = model->parameters();
    cr_assert(parameters.step == 9500us);
    cr_assert(parameters.stepPerWriter == 400us);
    cr_assert(parameters.stepPerThousandContext == 250us);
    cr_assert(parameters.readPerToken == 125us);
    cr_assert(parameters.readPerMillionPairs == 2500us);
    cr_assert_eq(parameters.chunk, 512);
    cr_assert_eq(parameters.stride, 4);
    cr_assert_eq(parameters.usual.promptTokens, 1500);
    cr_assert_eq(parameters.usual.outputTokens, 180);
    cr_assert(parameters.reportLag == 250ms);
    cr_assert(model->delayBetween("a", "b") == 1500us);
    cr_assert(model->delayBetween("a", "c") == 0ms, "a delay that is no number counts nothing");
}

// Guards against a configuration that is rejected, or a placement by nonsense, because of values that make no sense.
Test(EngineModelDecoder, leavesTheModelOutIfAValueMakesNoSense)
{
    for (auto* name : { "step_ms", "per_seq_ms", "context_per_k", "read_per_s", "pairs_per_m", "chunk", "stride", "usual" }) {
        auto engine = nlohmann::json::parse(complete);
        engine.erase(name);
        cr_assert_not(decodeEngineModel(engine), "%s is missing", name);
        for (auto& value : { nlohmann::json("x"), nlohmann::json(-1), nlohmann::json(1e300), nlohmann::json(), nlohmann::json::array() })
            cr_assert_not(decodeWith(name, value), "%s is %s", name, value.dump().c_str());
    }
    cr_assert_not(decodeWith("read_per_s", 0));
    cr_assert_not(decodeWith("usual", { { "prompt", 0 }, { "answer", 10 } }));
    cr_assert_not(decodeWith("report_lag_ms", -5));
}

// Guards against a model that is switched off by delays in another format.
Test(EngineModelDecoder, readsDelaysLeniently)
{
    auto list = decodeWith("delays", { { { "from", "a" }, { "to", "b" }, { "ms", 2 } }, { { "from", "a" } }, 5 });
    cr_assert(list && list->delayBetween("b", "a") == 2ms);
    for (auto& value : { nlohmann::json(3), nlohmann::json("a"), nlohmann::json(), nlohmann::json::array({ 1, "b" }) }) {
        auto model = decodeWith("delays", value);
        cr_assert(model && model->delayBetween("a", "b") == 0ms);
    }
}
