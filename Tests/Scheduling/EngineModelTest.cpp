#include "Scheduling/EngineModel.h"
#include "Scheduling/Commands/RecordRatio.h"
#include "Scheduling/Queries/DecideSpill.h"
#include "Scheduling/Queries/FindRatio.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Scheduling;
using namespace std::chrono_literals;

namespace {

EngineParameters parameters()
{
    EngineParameters parameters;
    parameters.step = 10ms;
    parameters.stepPerWriter = 1ms;
    parameters.stepPerThousandContext = 2ms;
    parameters.readPerToken = 100us;
    parameters.readPerMillionPairs = 5ms;
    parameters.chunk = 500;
    parameters.stride = 4;
    parameters.usual = { 1000, 200 };
    return parameters;
}

} // namespace

// Guards against a wrong prediction at an idle engine. Reading takes 100 ms for the tokens, 2.5 ms for half a million pairs
// and 20 ms for the steps of two passes; each of the other 100 output tokens takes 10 + 1 + 2.2 ms.
Test(EngineModel, predictsAtAnIdleEngine)
{
    auto predicted = EngineModel::create(parameters())->predict({ 1000, 101 }, {});
    cr_assert(predicted.firstEvent == 122500us);
    cr_assert(predicted.finish == 122500us + 100 * 13200us);
}

// Guards against a prediction that ignores what runs. 2,500 tokens are read in 250 ms, 1.25 million pairs in 6.25 ms, and five
// passes have four steps of 10 + 5 * 3.2 ms each; an output token takes 10 + 6 * 3.2 ms.
Test(EngineModel, predictsBesideOtherRequests)
{
    auto predicted = EngineModel::create(parameters())->predict({ 1000, 101 }, { 5, 1500 });
    cr_assert(predicted.firstEvent == 250000us + 6250us + 5 * 4 * 26000us);
    cr_assert(predicted.finish == predicted.firstEvent + 100 * 29200us);
}

// Guards against a request without stated tokens that counts as no work, and against sums that overflow.
Test(EngineModel, boundsTheTokens)
{
    auto model = EngineModel::create(parameters());
    cr_assert(model->predict({}, {}).finish == model->predict({ 1000, 200 }, {}).finish);
    auto largest = model->predict({ UINT64_MAX, UINT64_MAX }, { 1e9, 1e12 });
    cr_assert(largest.firstEvent > 0s && largest.finish <= 1h);
}

// Guards against a model from nonsensical values.
Test(EngineModel, refusesNonsense)
{
    cr_assert(EngineModel::create(parameters()));
    auto isRefused = [](auto change) {
        auto changed = parameters();
        change(changed);
        return !EngineModel::create(changed);
    };
    cr_assert(isRefused([](auto& changed) { changed.step = 0ms; }));
    cr_assert(isRefused([](auto& changed) { changed.stepPerWriter = -1ms; }));
    cr_assert(isRefused([](auto& changed) { changed.readPerToken = 0ns; }));
    cr_assert(isRefused([](auto& changed) { changed.readPerMillionPairs = 2min; }));
    cr_assert(isRefused([](auto& changed) { changed.chunk = 0; }));
    cr_assert(isRefused([](auto& changed) { changed.stride = 2'000'000; }));
    cr_assert(isRefused([](auto& changed) { changed.usual.outputTokens = 0; }));
}

// Guards against delays that hold in one direction only, and against a hop that costs something where no delay is known.
Test(EngineModel, knowsTheDelaysBetweenDataCentres)
{
    auto changed = parameters();
    changed.delays = { { { "a", "b" }, 3ms } };
    auto model = EngineModel::create(changed);
    cr_assert(model->delayBetween("a", "b") == 3ms);
    cr_assert(model->delayBetween("b", "a") == 3ms);
    cr_assert(model->delayBetween("a", "c") == 0ms);
    cr_assert(model->delayBetween("a", "a") == 0ms);
}

// Guards against a correction that outlasts the slow span: it is halved, as a logarithm, every 300 ms.
Test(RatioAverage, losesWeight)
{
    RatioAverage average { 300ms };
    Base::TimePoint now { 10s };
    cr_assert_float_eq(Queries::findRatio(average, now), 1, 1e-9);
    Commands::recordRatio(average, 400ms, 100ms, now);
    cr_assert_float_eq(Queries::findRatio(average, now), 4, 1e-6);
    cr_assert_float_eq(Queries::findRatio(average, now + 300ms), 2, 1e-6);
    cr_assert_lt(Queries::findRatio(average, now + 3s), 1.01);
    Commands::recordRatio(average, 100ms, 0ms, now);
    cr_assert_float_eq(Queries::findRatio(average, now), 4, 1e-6, "there was no prediction");
}

// Guards against a change of direction with each request: spill begins above a fifth of the target latency, 80 of 400 ms, and
// ends below half of that.
Test(Spill, hasHysteresis)
{
    cr_assert_not(Queries::shouldSpill({ 180ms, 100ms }, 400ms, false));
    cr_assert(Queries::shouldSpill({ 181ms, 100ms }, 400ms, false));
    cr_assert(Queries::shouldSpill({ 141ms, 100ms }, 400ms, true));
    cr_assert_not(Queries::shouldSpill({ 140ms, 100ms }, 400ms, true));
    cr_assert_not(Queries::shouldSpill({ 119ms, 100ms }, 0ms, false), "without a target latency the margin is 20 ms");
}
