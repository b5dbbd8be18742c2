#pragma once

#include "Scheduling/WorkEstimator.h"

namespace Lavenderloft::Scheduling {

// Work in prompt tokens. An output token counts as several, because it takes a step of the engine, whereas a step reads many
// prompt tokens. A request without tokens counts as one unit.
class TokenWorkEstimator final : public WorkEstimator {
public:
    double estimate(const RequestSize&) const override;
};

} // namespace Lavenderloft::Scheduling
