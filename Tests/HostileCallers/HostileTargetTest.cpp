#include "HostileCallers/Crowd.h"
#include "HostileCallers/RouterChecks.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::HostileCallers;

namespace {

// Ordinary callers send requests to which the target responds without end.
void receiveWithoutEnd(const std::string& path)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd callers(router.callers(), fewConnections);
    callers.send(ordinaryRequest({}, path));
    std::this_thread::sleep_for(2 * settleTime);
    expectWithinBounds(router);
    expectServed(router);
}

} // namespace

// Guards against the end of a router whose memory is exhausted by a target that ends its chunked response by trailers
// without end.
Test(HostileTargets, sendTrailersWithoutEnd)
{
    receiveWithoutEnd("/trailers");
}

// Guards against the same end by extensions of a chunk.
Test(HostileTargets, sendChunkExtensionsWithoutEnd)
{
    receiveWithoutEnd("/extensions");
}

// Guards against the same end by a head without end.
Test(HostileTargets, sendHeaderFieldsWithoutEnd)
{
    receiveWithoutEnd("/fields");
}

// Guards against the same end, and against a thread that spins, by interim responses without end.
Test(HostileTargets, sendInterimResponsesWithoutEnd)
{
    receiveWithoutEnd("/interim");
}

// Guards against the same end by bytes without end behind a complete response.
Test(HostileTargets, sendMoreThanAnnounced)
{
    receiveWithoutEnd("/announced");
}
