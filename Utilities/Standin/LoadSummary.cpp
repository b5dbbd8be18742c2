#include "Standin/LoadSummary.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderloft::Standin {

namespace {

    nlohmann::json percentiles(std::vector<std::chrono::microseconds> samples)
    {
        if (samples.empty())
            return nlohmann::json::object();
        std::sort(samples.begin(), samples.end());
        auto at = [&](double fraction) {
            auto index = static_cast<size_t>(fraction * static_cast<double>(samples.size() - 1) + 0.5);
            return std::chrono::duration<double, std::milli>(samples[index]).count();
        };
        return { { "p50", at(0.5) }, { "p95", at(0.95) }, { "p99", at(0.99) }, { "max", at(1) } };
    }

    void addCounts(std::map<std::string, uint64_t>& target, const std::map<std::string, uint64_t>& source)
    {
        for (auto& [name, count] : source)
            target[name] += count;
    }

} // namespace

uint64_t LoadSummary::failed() const
{
    uint64_t total = 0;
    for (auto& [code, count] : failedByCode)
        total += count;
    return total;
}

uint64_t LoadSummary::lost() const
{
    return sent - whole - failed() - mixedWeights - foreignAnswers - incompleteTakenAsWhole;
}

bool LoadSummary::hasInvariantViolation() const
{
    return mixedWeights + foreignAnswers + incompleteTakenAsWhole + lost() > 0;
}

void LoadSummary::merge(const LoadSummary& other)
{
    sent += other.sent;
    whole += other.whole;
    addCounts(failedByCode, other.failedByCode);
    addCounts(wholeByDigest, other.wholeByDigest);
    mixedWeights += other.mixedWeights;
    foreignAnswers += other.foreignAnswers;
    incompleteTakenAsWhole += other.incompleteTakenAsWhole;
    firstToken.insert(firstToken.end(), other.firstToken.begin(), other.firstToken.end());
    total.insert(total.end(), other.total.begin(), other.total.end());
}

nlohmann::json toJson(const LoadSummary& summary)
{
    return { { "sent", summary.sent }, { "whole", summary.whole }, { "failed", summary.failed() }, { "lost", summary.lost() },
        { "failedByCode", summary.failedByCode }, { "wholeByDigest", summary.wholeByDigest }, { "mixedWeights", summary.mixedWeights },
        { "foreignAnswers", summary.foreignAnswers }, { "incompleteTakenAsWhole", summary.incompleteTakenAsWhole },
        { "firstTokenMs", percentiles(summary.firstToken) }, { "totalMs", percentiles(summary.total) } };
}

} // namespace Lavenderloft::Standin
