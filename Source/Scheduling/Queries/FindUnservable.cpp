#include "Scheduling/Queries/FindUnservable.h"

namespace Lavenderloft::Scheduling::Queries {

std::vector<size_t> findUnservable(const std::vector<QueuedWait>& queue, double workPerSecond, Base::TimePoint now)
{
    std::vector<size_t> unservable;
    if (workPerSecond <= 0)
        return unservable;
    double preceding = 0;
    for (size_t i = 0; i < queue.size(); ++i) {
        auto expectedWait = std::chrono::duration<double>(preceding / workPerSecond);
        bool isInTime = queue[i].isInterrupted || expectedWait <= queue[i].until - now;
        if (isInTime)
            preceding += queue[i].work;
        else
            unservable.push_back(i);
    }
    return unservable;
}

} // namespace Lavenderloft::Scheduling::Queries
