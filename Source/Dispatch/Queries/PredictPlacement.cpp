#include "Dispatch/Queries/PredictPlacement.h"

#include "Scheduling/Queries/FindRatio.h"

#include <algorithm>
#include <cmath>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    using namespace std::chrono_literals;

    constexpr double largestSlowness = 20;
    // Prompts are text of about this many bytes a token.
    constexpr double bytesPerToken = 4;
    constexpr double bitsPerByte = 8;
    // Slowness from which a target gets no more than probes if others are faster.
    constexpr double probedSlowness = 1.5;
    // Engines are slow for about 600 ms at a time.
    constexpr std::chrono::milliseconds probeInterval = 500ms;

    Base::Duration scaled(Base::Duration duration, double factor)
    {
        return std::chrono::duration_cast<Base::Duration>(duration * factor);
    }

    double promptTokensOf(const PlacementContext& context)
    {
        auto tokens = context.traits.size.promptTokens;
        return tokens > 0 ? static_cast<double>(std::min<uint64_t>(tokens, Scheduling::EngineModel::maximumTokens)) : context.model->usualPromptTokens();
    }

    // Of the requests of other routers, the usual part is being read. Without a report only the router's own count.
    Scheduling::EngineOccupation occupationOf(const TargetRuntime& runtime, const Scheduling::EngineModel& model, Base::TimePoint now)
    {
        double ownTokens = 0;
        for (auto& [assignedAt, predicted] : runtime.unanswered)
            ownTokens += predicted ? predicted->promptTokens : model.usualPromptTokens();
        auto elsewhere = static_cast<double>(runtime.occupancy(now) - runtime.inFlight);
        auto readElsewhere = elsewhere * model.usualReadingShare();
        auto ownWriters = runtime.inFlight - std::min<double>(runtime.inFlight, static_cast<double>(runtime.unanswered.size()));
        return { ownWriters + elsewhere - readElsewhere, ownTokens + readElsewhere * model.usualPromptTokens() };
    }

    // How many times longer than expected the oldest unanswered request has taken so far.
    double overdueRatio(const TargetRuntime& runtime, double bias, Base::TimePoint now)
    {
        auto oldest = runtime.unanswered.upper_bound(runtime.answeredAssignedAt);
        if (oldest == runtime.unanswered.end() || !oldest->second)
            return 1;
        auto expected = scaled(oldest->second->nominal.firstEvent, bias);
        return expected > 0ns ? static_cast<double>((now - oldest->first).count()) / static_cast<double>(expected.count()) : 1;
    }

    // The larger of what the engine says and what was observed; both tell of the same cause.
    double slownessOf(const TargetRuntime& runtime, double bias, Base::TimePoint now)
    {
        auto observed = std::max(Scheduling::Queries::findRatio(runtime.firstPartRatio, now), overdueRatio(runtime, bias, now));
        auto pace = runtime.hasReport(now) && std::isfinite(runtime.report.pace) ? runtime.report.pace : 1;
        return std::clamp(std::max(observed, pace), 1.0, largestSlowness);
    }

    // There and back, and the time that the request takes on this router's link.
    Base::Duration hopOf(const Candidate& candidate, const PlacementContext& context, double promptTokens)
    {
        if (candidate.sameDataCentre)
            return 0ns;
        auto delay = 2 * context.model->delayBetween(context.dataCentre, candidate.target->entry.dataCentre);
        if (context.linkBitsPerSecond <= 0)
            return delay;
        std::chrono::duration<double> transfer(promptTokens * bytesPerToken * bitsPerByte / context.linkBitsPerSecond);
        return delay + std::chrono::duration_cast<Base::Duration>(std::min<std::chrono::duration<double>>(transfer, 60s));
    }

} // namespace

PredictedPlacement predictPlacement(const Candidate& candidate, const PlacementContext& context)
{
    PredictedPlacement placement;
    placement.promptTokens = promptTokensOf(context);
    auto occupation = candidate.runtime ? occupationOf(*candidate.runtime, *context.model, context.now) : Scheduling::EngineOccupation {};
    auto predicted = context.model->predict(context.traits.size, occupation);
    placement.slowness = candidate.runtime ? slownessOf(*candidate.runtime, context.modelBias, context.now) : 1;
    auto hop = hopOf(candidate, context, placement.promptTokens);
    auto factor = context.modelBias * placement.slowness;
    placement.nominal = { predicted.firstEvent + hop, predicted.finish + hop };
    placement.corrected = { scaled(predicted.firstEvent, factor) + hop, scaled(predicted.finish, factor) + hop };
    return placement;
}

bool isProbeDue(const Candidate& candidate, const PredictedPlacement& predicted, Base::TimePoint now)
{
    if (!candidate.runtime || predicted.slowness < probedSlowness)
        return false;
    auto& runtime = *candidate.runtime;
    bool saysSlow = runtime.hasReport(now) && runtime.report.pace >= probedSlowness;
    return !saysSlow && runtime.unanswered.empty() && now - runtime.answeredAssignedAt >= probeInterval;
}

} // namespace Lavenderloft::Dispatch::Queries
