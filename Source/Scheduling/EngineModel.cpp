#include "Scheduling/EngineModel.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>

namespace Lavenderloft::Scheduling {

namespace {

    using namespace std::chrono_literals;

    constexpr double tokensPerThousand = 1000;
    constexpr double pairsPerMillion = 1'000'000;
    // A step or the reading of a token that takes longer is a mistake in the configuration.
    constexpr Base::Duration longestStep = 60s;
    // Longer predictions are cut to this, so that they can be added.
    constexpr Base::Duration longestPrediction = 1h;

    double tokensOrUsual(uint64_t tokens, uint64_t usual)
    {
        return static_cast<double>(std::min(tokens > 0 ? tokens : usual, EngineModel::maximumTokens));
    }

    double nanoseconds(Base::Duration duration)
    {
        return static_cast<double>(duration.count());
    }

    Base::Duration boundedDuration(double nanoseconds)
    {
        return Base::Duration(static_cast<Base::Duration::rep>(std::min(nanoseconds, static_cast<double>(longestPrediction.count()))));
    }

    bool isSensible(const EngineParameters& parameters)
    {
        auto isTime = [](Base::Duration time) { return time >= 0ns && time <= longestStep; };
        auto times = { parameters.step, parameters.stepPerWriter, parameters.stepPerThousandContext, parameters.readPerToken, parameters.readPerMillionPairs, parameters.reportLag };
        bool hasTimes = std::all_of(times.begin(), times.end(), isTime) && parameters.step > 0ns && parameters.readPerToken > 0ns;
        auto isCount = [](uint64_t count) { return count > 0 && count <= EngineModel::maximumTokens; };
        return hasTimes && isCount(parameters.chunk) && isCount(parameters.stride) && isCount(parameters.usual.promptTokens) && isCount(parameters.usual.outputTokens);
    }

} // namespace

std::shared_ptr<const EngineModel> EngineModel::create(EngineParameters parameters)
{
    return isSensible(parameters) ? std::shared_ptr<const EngineModel>(new EngineModel(std::move(parameters))) : nullptr;
}

EngineModel::EngineModel(EngineParameters parameters)
    : m_parameters(std::move(parameters))
{
    auto usual = predict(m_parameters.usual, {});
    m_usualReadingShare = nanoseconds(usual.firstEvent) / std::max(1.0, nanoseconds(usual.finish));
}

double EngineModel::stepTime(double writers) const
{
    auto& usual = m_parameters.usual;
    // A writer has its prompt and, on average, half of its output as context.
    auto context = static_cast<double>(usual.promptTokens) + static_cast<double>(usual.outputTokens) / 2;
    return nanoseconds(m_parameters.step) + writers * (nanoseconds(m_parameters.stepPerWriter) + nanoseconds(m_parameters.stepPerThousandContext) * context / tokensPerThousand);
}

PredictedResponse EngineModel::predict(const RequestSize& size, const EngineOccupation& occupation) const
{
    auto prompt = tokensOrUsual(size.promptTokens, m_parameters.usual.promptTokens);
    auto output = tokensOrUsual(size.outputTokens, m_parameters.usual.outputTokens);
    auto tokens = prompt + occupation.promptTokensAhead;
    // A token has on average half of its prompt as earlier tokens.
    auto pairs = (prompt * prompt + occupation.promptTokensAhead * usualPromptTokens()) / 2;
    auto passes = std::ceil(tokens / m_parameters.chunk);
    auto passTime = occupation.writers > 0 ? m_parameters.stride * stepTime(occupation.writers) : nanoseconds(m_parameters.step);
    auto firstEvent = tokens * nanoseconds(m_parameters.readPerToken) + pairs / pairsPerMillion * nanoseconds(m_parameters.readPerMillionPairs) + passes * passTime;
    auto finish = firstEvent + (output - 1) * stepTime(occupation.writers + 1);
    return { boundedDuration(firstEvent), boundedDuration(finish) };
}

Base::Duration EngineModel::delayBetween(const std::string& from, const std::string& to) const
{
    if (m_parameters.delays.empty() || from == to)
        return 0ns;
    auto delay = m_parameters.delays.find({ from, to });
    if (delay == m_parameters.delays.end())
        delay = m_parameters.delays.find({ to, from });
    return delay == m_parameters.delays.end() ? Base::Duration(0ns) : delay->second;
}

} // namespace Lavenderloft::Scheduling
