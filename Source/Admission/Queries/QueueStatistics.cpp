#include "Admission/Queries/QueueStatistics.h"

namespace Lavenderloft::Admission::Queries {

QueueStatistics queueStatistics(const WaitingQueue& queue)
{
    QueueStatistics statistics;
    for (auto& classQueue : queue.classes) {
        std::lock_guard guard(classQueue.lock);
        statistics.requests += classQueue.count;
        statistics.bytes += classQueue.bytes;
    }
    return statistics;
}

} // namespace Lavenderloft::Admission::Queries
