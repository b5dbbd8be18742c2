#pragma once

#include "Base/Clock.h"
#include "Base/StallMonitor.h"
#include "Fleet/NodeSettings.h"
#include "Peering/ItemMerger.h"
#include "Peering/PeerClocks.h"
#include "Peering/PeerTable.h"
#include "Peering/PeeringCodec.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Lavenderloft::Peering {

// Decides what the messages of other nodes prove: how long they may have waited on their way, and up to which time the
// items of this node are complete because of them. Sends nothing itself. Used on one event loop.
class PeerReports {
public:
    PeerReports(const Fleet::NodeSettings&, PeerTable&, ItemMerger&, const Base::Clock&, const Base::StallMonitor&);

    // Notes the times in a message that has just arrived. Called before the message is used otherwise.
    void recordArrival(const NodeMessage&);

    // Records a router and its report on the store.
    void recordRouter(const NodeMessage&);

    // Upper bound of the time for which the message waited on its way and at this node; nullopt if there is none.
    std::optional<std::chrono::milliseconds> maximumWait(const NodeMessage&) const;

    // Whether the message came so soon after it was sent that the ages in it count from its arrival.
    bool isPrompt(const NodeMessage&) const;

    // Whether the sender knows this process, so that the ages in its messages can be used.
    bool isKnownTo(const NodeMessage&) const;

    // Returns the times of a message to the node whose ages were read at the given time, or later.
    MessageTimes timesOfMessage(const std::string& receiver, Base::TimePoint agesReadAt) const;

    // Removes the nodes without recent messages.
    void removeExpired();

private:
    bool mayHaveWaited() const;
    StoreSyncReport syncReportOf(const NodeMessage&, Base::TimePoint now) const;

    const Fleet::NodeSettings& m_settings;
    PeerTable& m_peers;
    ItemMerger& m_merger;
    const Base::Clock& m_clock;
    const Base::StallMonitor& m_stalls;
    PeerClocks m_peerClocks;
    // Identifies this process to its peers.
    const uint32_t m_incarnation;
};

} // namespace Lavenderloft::Peering
