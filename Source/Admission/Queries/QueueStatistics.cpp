#include "Admission/Queries/QueueStatistics.h"

namespace Lavenderloft::Admission::Queries {

QueueStatistics queueStatistics(const WaitingQueue& queue)
{
    QueueStatistics figures;
    for (auto& classQueue : queue.classes) {
        std::lock_guard guard(classQueue.lock);
        figures.requests += classQueue.count;
        figures.bytes += classQueue.bytes;
    }
    return figures;
}

} // namespace Lavenderloft::Admission::Queries
