#pragma once

#include "Scheduling/QueueOrder.h"

namespace Lavenderloft::Scheduling {

// The more urgent request first. Of the same urgency, interrupted requests first, then by the fair shares of the
// organisations, then by arrival.
class FairOrder final : public QueueOrder {
public:
    bool precedes(const QueuedWork& first, const QueuedWork& second) const override;
};

} // namespace Lavenderloft::Scheduling
