#include "Peering/Commands/RecordPeer.h"

#include <algorithm>

namespace Lavenderloft::Peering::Commands {

namespace {

    using namespace std::chrono_literals;

    // An agent learns the routers from answers that come at least this often.
    constexpr std::chrono::milliseconds answerInterval = 1000ms;
    // An agent that lags is reminded no more often than this.
    constexpr std::chrono::milliseconds reminderInterval = 100ms;
    constexpr std::chrono::seconds agentRetention = 10s;
    constexpr std::chrono::seconds routerAvoidance = 3s;

} // namespace

void recordRouter(PeerTable& table, const PeerRouter& router)
{
    table.routers().withShard(router.address, [&](PeerTable::Routers::Entries& entries) {
        auto& known = entries[router.address];
        if (known.heardAt > router.heardAt)
            return;
        auto revision = std::max(known.revision, router.revision);
        auto demand = router.demand > 0 ? router.demand : known.demand;
        auto avoidUntil = known.avoidUntil;
        known = router;
        known.revision = revision;
        known.demand = demand;
        known.avoidUntil = avoidUntil;
    });
}

void recordHearsay(PeerTable& table, const std::string& address, const std::string& dataCentre, Base::TimePoint heardAt)
{
    table.routers().withShard(address, [&](PeerTable::Routers::Entries& entries) {
        auto& known = entries[address];
        known.address = address;
        known.dataCentre = dataCentre;
        known.heardAt = std::max(known.heardAt, heardAt);
    });
}

void avoidRouter(PeerTable& table, const std::string& address, Base::TimePoint now)
{
    table.routers().withShard(address, [&](PeerTable::Routers::Entries& entries) {
        auto known = entries.find(address);
        if (known != entries.end())
            known->second.avoidUntil = now + routerAvoidance;
    });
}

void forgetRouter(PeerTable& table, const std::string& address)
{
    table.routers().erase(address);
}

bool recordAgent(PeerTable& table, const std::string& address, uint64_t revision, uint64_t ownRevision, Base::TimePoint now)
{
    return table.agents().withShard(address, [&](PeerTable::Agents::Entries& entries) {
        auto& known = entries[address];
        known.address = address;
        known.heardAt = now;
        known.revision = revision;
        auto interval = revision < ownRevision ? reminderInterval : answerInterval;
        if (known.answeredAt != Base::TimePoint() && now - known.answeredAt < interval)
            return false;
        known.answeredAt = now;
        return true;
    });
}

void forgetSilentPeers(PeerTable& table, Base::TimePoint now)
{
    table.routers().eraseIf([&](auto&, const PeerRouter& router) { return now - router.heardAt > PeerTable::routerRetention; });
    table.agents().eraseIf([&](auto&, const PeerAgent& agent) { return now - agent.heardAt > agentRetention; });
}

} // namespace Lavenderloft::Peering::Commands
