#pragma once

#include "Scheduling/QueueOrder.h"

namespace Lavenderloft::Scheduling {

// The more urgent request first; of the same urgency, interrupted requests first, then by arrival.
class UrgencyOrder final : public QueueOrder {
public:
    bool precedes(const QueuedWork& first, const QueuedWork& second) const override;
};

} // namespace Lavenderloft::Scheduling
