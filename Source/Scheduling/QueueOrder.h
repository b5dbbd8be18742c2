#pragma once

#include "Scheduling/QueuedWork.h"

namespace Lavenderloft::Scheduling {

// Order in which the requests of a queue are served.
class QueueOrder {
public:
    virtual ~QueueOrder() = default;

    // Whether the first request is served before the second one, which arrived later.
    virtual bool precedes(const QueuedWork& first, const QueuedWork& second) const = 0;
};

} // namespace Lavenderloft::Scheduling
