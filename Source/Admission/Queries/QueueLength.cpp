#include "Admission/Queries/QueueLength.h"

namespace Lavenderloft::Admission::Queries {

QueueFigures queueFigures(const WaitingQueue& queue)
{
    QueueFigures figures;
    for (auto& classQueue : queue.classes) {
        std::lock_guard guard(classQueue.lock);
        figures.requests += classQueue.count;
        figures.bytes += classQueue.bytes;
    }
    return figures;
}

} // namespace Lavenderloft::Admission::Queries
