#include "Routing/Commands/ExpireRequests.h"

#include "Routing/RequestCoordinator.h"

#include <vector>

namespace Lavenderloft::Routing::Commands {

namespace {

    // Ending a request locks its shard, so requests must not be ended while the map is traversed.
    std::vector<std::shared_ptr<RequestCoordinator>> listRequests(const RunningRequests& running)
    {
        std::vector<std::shared_ptr<RequestCoordinator>> requests;
        running.forEach([&](auto&, auto& request) { requests.push_back(request); });
        return requests;
    }

} // namespace

void expireRequests(const RunningRequests& running, Base::TimePoint now)
{
    for (auto& request : listRequests(running))
        request->tick(now);
}

size_t abandonRequests(const RunningRequests& running)
{
    auto requests = listRequests(running);
    for (auto& request : requests)
        request->abandon();
    return requests.size();
}

} // namespace Lavenderloft::Routing::Commands
