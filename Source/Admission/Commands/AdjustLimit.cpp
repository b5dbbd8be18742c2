#include "Admission/Commands/AdjustLimit.h"

#include <algorithm>
#include <utility>

namespace Lavenderloft::Admission::Commands {

namespace {

    // Ratio of the mean service time to the warm average above which the target counts as slow.
    constexpr int slowdownFactor = 4;
    // Minimum number of completed requests for a meaningful mean service time.
    constexpr unsigned minimumSample = 4;
    // The warm average moves by 1/averageDivisor of the difference in each window.
    constexpr int averageDivisor = 5;

    using Data = LimitState::Data;

    void restartWindow(Data& data, Base::TimePoint now)
    {
        data.windowStart = now;
        data.completedInWindow = 0;
        data.serviceTimeInWindow = {};
    }

    void resetToColdLimit(Data& data, Base::TimePoint now)
    {
        data.limit = data.engine.isUsable ? std::min(data.settings.coldLimit, data.settings.fullLimit) : 0;
        restartWindow(data, now);
    }

    bool isSlow(const Data& data)
    {
        if (data.completedInWindow < minimumSample || data.warmAverage == Base::Duration::zero())
            return false;
        return data.serviceTimeInWindow > data.completedInWindow * slowdownFactor * data.warmAverage;
    }

    void updateAverage(Data& data)
    {
        if (!data.completedInWindow || data.limit < data.settings.fullLimit)
            return;
        auto mean = data.serviceTimeInWindow / data.completedInWindow;
        if (data.warmAverage == Base::Duration::zero())
            data.warmAverage = mean;
        else
            data.warmAverage += (mean - data.warmAverage) / averageDivisor;
    }

} // namespace

void configureLimit(LimitState& state, const LimitSettings& settings)
{
    state.withData([&](Data& data) {
        if (data.settings == settings)
            return;
        data.settings = settings;
        data.limit = std::min(data.limit, settings.fullLimit);
        if (data.engine.isUsable)
            data.limit = std::max(data.limit, std::min(settings.coldLimit, settings.fullLimit));
    });
}

void observeEngine(LimitState& state, const EngineCondition& condition, Base::TimePoint now)
{
    state.withData([&](Data& data) {
        // Silence says nothing of the engine's condition. No request is sent until the next answer tells.
        data.isSuspect = !condition.isReachable;
        if (data.isSuspect)
            return;
        data.engineSeenAt = now;
        auto previous = std::exchange(data.engine, condition);
        bool hasChanged = previous.incarnation != condition.incarnation || previous.digest != condition.digest;
        if (hasChanged)
            data.warmAverage = {};
        bool turnedCold = previous.isWarm && !condition.isWarm;
        if (hasChanged || turnedCold || previous.isUsable != condition.isUsable)
            resetToColdLimit(data, now);
    });
}

void suspectEngine(LimitState& state)
{
    state.withData([](Data& data) { data.isSuspect = true; });
}

void observeCompletion(LimitState& state, Base::Duration serviceTime)
{
    state.withData([&](Data& data) {
        ++data.completedInWindow;
        data.serviceTimeInWindow += serviceTime;
    });
}

void closeWindow(LimitState& state, Base::TimePoint now)
{
    state.withData([&](Data& data) {
        if (now - data.windowStart < data.settings.warmWindow)
            return;
        if (isSlow(data))
            return resetToColdLimit(data, now);
        updateAverage(data);
        if (data.engine.isWarm && data.limit > 0 && data.completedInWindow >= data.limit)
            data.limit = std::min(data.limit * 2, data.settings.fullLimit);
        restartWindow(data, now);
    });
}

} // namespace Lavenderloft::Admission::Commands
