#include "Peering/PeerReports.h"
#include "Fleet/FleetFixture.h"
#include "Peering/Queries/ListPeers.h"

#include <criterion/criterion.h>
#include <limits>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

// Guards against a node that always counts itself as behind, because one router named an era that the store can't have reached.
Test(PeerReports, aRouterOfAnImplausibleEraIsNotAhead)
{
    Fleet::TestFleetState fleet;
    Fleet::NodeSettings settings;
    PeerTable peers;
    ItemMerger merger(fleet.state, fleet.decoder, fleet.clock);
    Base::StallMonitor stalls(fleet.clock, 50ms);
    PeerReports reports(settings, peers, merger, fleet.clock, stalls);
    fleet.publishAt("c", Fleet::configurationOf(1), { 1, 5 });
    NodeMessage message;
    message.sender = "127.0.0.2";
    message.isRouter = true;
    message.position = { std::numeric_limits<uint64_t>::max(), 1 };
    reports.recordRouter(message);
    cr_expect_not(Queries::findRouterAhead(peers, { 1, 5 }, settings, fleet.clock.now()).has_value());
    message.position = { 2, 1 };
    reports.recordRouter(message);
    cr_expect(Queries::findRouterAhead(peers, { 1, 5 }, settings, fleet.clock.now()).has_value());
}
