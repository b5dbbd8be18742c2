#pragma once

#include "Peering/PeeringNode.h"
#include "Staging/EngineMonitor.h"
#include "Staging/EngineStart.h"
#include "Staging/GrantableSlots.h"
#include "Staging/LoadIntent.h"
#include "Staging/Queries/DistributeGrants.h"
#include "Staging/StagingContext.h"

namespace Lavenderloft::Staging {

// Reports the load of the local engine to the routers and grants them its free slots. Runs on one event loop.
class LoadReporter {
public:
    LoadReporter(const StagingContext&, const EngineMonitor&, const LoadIntent&, const LoadState&, Peering::PeeringNode&);

    // Sends a report after the engine's own one.
    void engineReported(const EngineReport&);

    // Tells the routers that the engine has ended, so that they need not find out by failed connections.
    void engineEnded();

    // Sends a report at once, unless the engine does not respond.
    void reportNow();

private:
    void send(const EngineReport&);
    std::map<std::string, Peering::RouterShare> shareSlots(unsigned grantable, const std::vector<Peering::PeerRouter>& receivers, const Queries::GrantBasis&);
    void recordLimited(bool);

    const StagingContext& m_context;
    const EngineMonitor& m_monitor;
    const LoadIntent& m_intent;
    const LoadState& m_loadState;
    Peering::PeeringNode& m_peering;
    EngineStart m_engineStart;
    GrantableSlots m_slots;
    // Whether the last report limited the reuse of slots.
    bool m_isReuseLimited = false;
};

} // namespace Lavenderloft::Staging
