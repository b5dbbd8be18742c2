#include "Routing/Commands/ChargeRetryBudget.h"

namespace Lavenderloft::Routing::Commands {

void creditRequest(RetryBudget& budget)
{
    constexpr auto maximum = RetryBudget::burstRetries * RetryBudget::requestsPerRetry;
    auto credit = budget.credit().load();
    while (credit < maximum && !budget.credit().compare_exchange_weak(credit, credit + 1)) { }
}

Base::Result<Base::Done, RetryBudgetError> chargeRetry(RetryBudget& budget)
{
    auto credit = budget.credit().load();
    do {
        if (credit < RetryBudget::requestsPerRetry)
            return RetryBudgetError { RetryBudgetErrorKind::Spent, "the retry budget of 10% of requests is exhausted", "check for failing targets" };
    } while (!budget.credit().compare_exchange_weak(credit, credit - RetryBudget::requestsPerRetry));
    return Base::Done {};
}

} // namespace Lavenderloft::Routing::Commands
