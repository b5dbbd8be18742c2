#pragma once

#include "Base/Result.h"
#include "Routing/RetryBudget.h"

namespace Lavenderloft::Routing::Commands {

enum class RetryBudgetErrorKind {
    Spent,
};

using RetryBudgetError = Base::Error<RetryBudgetErrorKind>;

// Adds the credit of one request.
void creditRequest(RetryBudget&);

// Deducts the cost of one retry. The budget is unchanged if the credit does not suffice.
Base::Result<Base::Done, RetryBudgetError> chargeRetry(RetryBudget&);

} // namespace Lavenderloft::Routing::Commands
