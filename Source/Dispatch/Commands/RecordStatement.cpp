#include "Dispatch/Commands/RecordStatement.h"

#include "Dispatch/Commands/ShareLimits.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    void startIncarnation(TargetKnowledge& knowledge, uint64_t incarnation)
    {
        if (knowledge.incarnation != incarnation)
            knowledge = { incarnation, std::nullopt, {}, false, std::nullopt };
    }

    bool recordLeaving(TargetKnowledge& knowledge, Base::TimePoint now)
    {
        if (knowledge.leavingSince)
            return false;
        knowledge.leavingSince = now;
        return true;
    }

    std::optional<std::chrono::milliseconds> holdBack(TargetKnowledge& knowledge, std::chrono::milliseconds requested, Base::TimePoint now)
    {
        auto duration = std::min(requested, maximumHoldBack);
        if (duration <= std::chrono::milliseconds(0) || now + duration <= knowledge.heldBackUntil)
            return std::nullopt;
        knowledge.heldBackUntil = now + duration;
        knowledge.isProbed = true;
        return duration;
    }

    // Returns whether the limit is another one than before.
    bool learnLimit(ServiceState& service, TargetKnowledge& knowledge, const KnownLimit& stated)
    {
        if (knowledge.limit && stated.statedAt <= knowledge.limit->statedAt)
            return false;
        auto before = knowledge.limit ? knowledge.limit->requestsPerSecond : std::nullopt;
        knowledge.limit = stated;
        service.mayHaveLimits |= knowledge.isLimited();
        return before != stated.requestsPerSecond;
    }

    // A response without a limit ends one only if its request was sent after the limit was named: heads on different
    // connections overtake each other.
    bool recordLimit(ServiceState& service, TargetKnowledge& knowledge, const StatedLimit& stated, Base::TimePoint assignedAt, Base::TimePoint now)
    {
        if (stated.kind == StatedLimit::Kind::Named)
            return learnLimit(service, knowledge, { stated.requestsPerSecond, now });
        if (stated.kind == StatedLimit::Kind::None && knowledge.isLimited())
            return learnLimit(service, knowledge, { std::nullopt, assignedAt });
        return false;
    }

    bool saysAnything(const TargetStatement& statement)
    {
        return statement.isLeaving || statement.retryAfter || statement.limit.kind == StatedLimit::Kind::Named;
    }

} // namespace

LearnedStatement recordStatement(DispatchState& state, const std::string& serviceName, const Fleet::TargetEntry& target, const TargetStatement& statement, Base::TimePoint assignedAt, Base::TimePoint now)
{
    LearnedStatement learned;
    state.withService(serviceName, [&](ServiceState& service) {
        auto known = service.targets.find(target.id);
        bool isLimited = known != service.targets.end() && known->second.knowledge.isLimited();
        if (!saysAnything(statement) && !isLimited)
            return;
        auto& knowledge = service.targets[target.id].knowledge;
        // A response of an earlier incarnation, which may come late, says nothing of the present one.
        if (target.startedAt < knowledge.incarnation)
            return;
        startIncarnation(knowledge, target.startedAt);
        if (statement.isLeaving)
            learned.isNewlyLeaving = recordLeaving(knowledge, now);
        if (statement.retryAfter)
            learned.heldBackFor = holdBack(knowledge, *statement.retryAfter, now);
        learned.hasNewLimit = recordLimit(service, knowledge, statement.limit, assignedAt, now);
        if (learned.hasNewLimit)
            updateLimitShares(state, serviceName, service, now);
    });
    return learned;
}

void mergeLimitReports(DispatchState& state, const std::vector<LimitReport>& reports, Base::TimePoint now)
{
    for (auto& report : reports) {
        state.withService(report.service, [&](ServiceState& service) {
            auto& knowledge = service.targets[report.target].knowledge;
            if (report.incarnation < knowledge.incarnation)
                return;
            startIncarnation(knowledge, report.incarnation);
            if (learnLimit(service, knowledge, { report.requestsPerSecond, now - report.age }))
                updateLimitShares(state, report.service, service, now);
        });
    }
}

} // namespace Lavenderloft::Dispatch::Commands
