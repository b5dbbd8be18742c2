#include "Peering/Commands/RecordPeer.h"

#include <algorithm>

namespace Lavenderloft::Peering::Commands {

namespace {

    using namespace std::chrono_literals;

    // Minimum interval between replies to an agent, from which it learns the routers.
    constexpr std::chrono::milliseconds replyInterval = 1000ms;
    // Minimum interval between replies to an agent that is behind.
    constexpr std::chrono::milliseconds laggingReplyInterval = 100ms;
    constexpr std::chrono::seconds agentRetention = 10s;
    constexpr std::chrono::seconds routerBackoff = 3s;

} // namespace

void recordRouter(PeerTable& table, const PeerRouter& router)
{
    table.routers().withShard(router.address, [&](PeerTable::Routers::Entries& entries) {
        auto& known = entries[router.address];
        if (known.lastSeenAt > router.lastSeenAt)
            return;
        auto position = std::max(known.position, router.position);
        auto demand = router.demand > 0 ? router.demand : known.demand;
        auto backoffUntil = known.backoffUntil;
        known = router;
        known.position = position;
        known.demand = demand;
        known.backoffUntil = backoffUntil;
    });
}

void recordGossip(PeerTable& table, const std::string& address, const std::string& dataCentre, Base::TimePoint lastSeenAt)
{
    table.routers().withShard(address, [&](PeerTable::Routers::Entries& entries) {
        auto& known = entries[address];
        known.address = address;
        known.dataCentre = dataCentre;
        known.lastSeenAt = std::max(known.lastSeenAt, lastSeenAt);
    });
}

void startRouterBackoff(PeerTable& table, const std::string& address, Base::TimePoint now)
{
    table.routers().withShard(address, [&](PeerTable::Routers::Entries& entries) {
        auto known = entries.find(address);
        if (known != entries.end())
            known->second.backoffUntil = now + routerBackoff;
    });
}

void endRouterBackoff(PeerTable& table, const std::string& address)
{
    table.routers().withShard(address, [&](PeerTable::Routers::Entries& entries) {
        auto known = entries.find(address);
        if (known != entries.end())
            known->second.backoffUntil = {};
    });
}

void removeRouter(PeerTable& table, const std::string& address)
{
    table.routers().erase(address);
}

bool recordAgent(PeerTable& table, const std::string& address, Fleet::StorePosition position, Fleet::StorePosition ownPosition, Base::TimePoint now)
{
    return table.agents().withShard(address, [&](PeerTable::Agents::Entries& entries) {
        auto& known = entries[address];
        known.address = address;
        known.lastSeenAt = now;
        known.position = position;
        auto interval = position < ownPosition ? laggingReplyInterval : replyInterval;
        if (known.lastRepliedAt != Base::TimePoint() && now - known.lastRepliedAt < interval)
            return false;
        known.lastRepliedAt = now;
        known.demandSentAt = now;
        return true;
    });
}

bool takeDemandReply(PeerTable& table, const std::string& address, std::chrono::milliseconds interval, Base::TimePoint now)
{
    return table.agents().withShard(address, [&](PeerTable::Agents::Entries& entries) {
        auto known = entries.find(address);
        if (known == entries.end() || now - known->second.demandSentAt < interval)
            return false;
        known->second.demandSentAt = now;
        return true;
    });
}

void removeExpiredPeers(PeerTable& table, Base::TimePoint now)
{
    table.routers().eraseIf([&](auto&, const PeerRouter& router) { return now - router.lastSeenAt > PeerTable::routerRetention; });
    table.agents().eraseIf([&](auto&, const PeerAgent& agent) { return now - agent.lastSeenAt > agentRetention; });
}

} // namespace Lavenderloft::Peering::Commands
