#pragma once

#include "Base/Result.h"
#include "Routing/RetryBudget.h"

namespace Lavenderloft::Routing::Commands {

enum class RetryBudgetErrorKind {
    Spent,
};

using RetryBudgetError = Base::Error<RetryBudgetErrorKind>;

// Credits one request of a caller.
void creditRequest(RetryBudget&);

// Takes the cost of one retry, or leaves the budget as it is.
Base::Result<Base::Done, RetryBudgetError> chargeRetry(RetryBudget&);

} // namespace Lavenderloft::Routing::Commands
