#pragma once

#include "Fleet/FleetFixture.h"
#include "Peering/ItemReceiver.h"
#include "Peering/ItemSupplier.h"
#include "Peering/PeerReports.h"
#include "Peering/Queries/ListPeers.h"
#include "Peering/StoreCursor.h"
#include "Peering/StoreTakeover.h"

#include <map>
#include <string>

namespace Lavenderloft::Peering {

// The decisions of one router, without input and output.
struct ModelRouter {
    static constexpr std::chrono::milliseconds tickInterval { 50 };

    Fleet::NodeSettings settings;
    Base::ManualClock clock;
    Fleet::FleetState fleet;
    PeerTable peers;
    Base::StallMonitor stalls { clock, tickInterval };
    ItemMerger merger;
    PeerReports reports { settings, peers, merger, clock, stalls };
    ItemReceiver receiver { settings, peers, merger, clock };
    ItemSupplier supplier { fleet, clock };
    StoreCursor cursor { merger, clock, stalls };
    StoreTakeover takeover;
    uint64_t highestConfiguration = 0;
    std::map<std::string, Fleet::StorePosition> highestPositions;

    ModelRouter(const Fleet::NodeSettings& nodeSettings, const Fleet::PublicationDecoder& decoder, Base::Duration uptime)
        : settings(nodeSettings)
        , merger(fleet, decoder, clock)
    {
        clock.advance(uptime);
        stalls.tick();
    }

    bool shouldFollowStore()
    {
        if (!receiver.hasFetchedAll())
            return true;
        auto now = clock.now();
        takeover.recordSupply(!receiver.isLagging() && Queries::isStoreFollowedByPeer(peers, settings, now), now);
        return takeover.isDue(Queries::takeoverRank(peers, settings, now), now);
    }

    NodeMessage messageTo(const std::string& receiverAddress) const
    {
        NodeMessage message;
        message.sender = settings.address;
        message.dataCentre = settings.dataCentre;
        message.isRouter = true;
        message.position = Fleet::Queries::knownPosition(fleet);
        message.retainedDigest = Fleet::Queries::currentSnapshot(fleet)->retainedDigest;
        if (auto syncedAt = cursor.syncedAt())
            message.storeAge = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - *syncedAt);
        message.times = reports.timesOfMessage(receiverAddress, clock.now());
        return message;
    }
};

} // namespace Lavenderloft::Peering
