#include "Routing/Commands/UpdateTargets.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <set>

namespace Lavenderloft::Routing::Commands {

namespace {

    using Membership::Member;

    Tier tierOf(const Member& member, const Member& self)
    {
        if (member.dataCentre == self.dataCentre)
            return Tier::SameDataCentre;
        return member.region == self.region ? Tier::SameRegion : Tier::OtherRegion;
    }

    // Whether the member accepts requests and is neither drained nor in a data centre taken out of service.
    bool acceptsRequests(const Member& member, const DesiredState::Document& document)
    {
        if (member.status == Membership::Status::Leaving || member.status == Membership::Status::Dead)
            return false;
        // Only the shared part of members in other data centres is known. Such a target refuses the request
        // if it accepts none.
        return (!member.hasDetail || member.load.accepting) && !document.isDataCentreOut(member.dataCentre) && !document.isDrained(member.vm);
    }

    // The member's replica for a destination, or null. A replica of a pool serves as long as it has complete
    // weights of any version, so the previous version serves until the new one is loaded.
    const Membership::Replica* findServing(const Member& member, const std::string& destination, bool needsWeights)
    {
        for (auto& replica : member.replicas) {
            if (replica.pool == destination && replica.servingDigest.empty() != needsWeights)
                return &replica;
        }
        return nullptr;
    }

    // Replaces the target if the process has moved or restarted, and keeps it otherwise.
    std::shared_ptr<Target> refreshTarget(TargetTable& table, const Member& member, const Member& self)
    {
        auto target = table.vms().withShard(member.vm, [&](TargetTable::Vms::Entries& entries) {
            auto& entry = entries[member.vm];
            if (!entry || entry->address() != member.address || entry->incarnation() != member.incarnation || entry->dataCentre() != member.dataCentre)
                entry = std::make_shared<Target>(member.vm, member.address, member.dataCentre, tierOf(member, self), member.incarnation);
            return entry;
        });
        if (member.hasDetail)
            target->setLoad(member.load);
        return target;
    }

    // Sorts by tier and then by the rendezvous hash with this router's name, so that routers choose different
    // subsets of a large pool.
    Targets chooseSubset(Targets targets, const std::string& router)
    {
        std::sort(targets.begin(), targets.end(), [&](auto& a, auto& b) {
            if (a->tier() != b->tier())
                return a->tier() < b->tier();
            return Base::rendezvousWeight(router, a->vm()) > Base::rendezvousWeight(router, b->vm());
        });
        if (targets.size() <= subsetSize)
            return targets;
        auto firstRemote = std::find_if(targets.begin(), targets.end(), [](auto& target) { return target->tier() != Tier::SameDataCentre; });
        auto localCount = static_cast<size_t>(firstRemote - targets.begin());
        auto remoteCount = std::min(targets.size() - localCount, subsetReserve);
        if (localCount > subsetSize - remoteCount)
            targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(subsetSize - remoteCount), firstRemote);
        targets.resize(std::min(targets.size(), subsetSize));
        return targets;
    }

    void publish(TargetTable& table, const std::string& name, Targets targets, const std::string& router)
    {
        table.pools().set(name, std::make_shared<const Targets>(chooseSubset(std::move(targets), router)));
    }

} // namespace

void updateTargets(TargetTable& table, const DesiredState::Document& document, const std::vector<Member>& members, const Member& self)
{
    std::set<std::string> live;
    std::vector<std::pair<const Member*, std::shared_ptr<Target>>> ready;
    for (auto& member : members) {
        if (member.role != Membership::Role::Agent || member.status == Membership::Status::Dead)
            continue;
        live.insert(member.vm);
        auto target = refreshTarget(table, member, self);
        if (acceptsRequests(member, document))
            ready.emplace_back(&member, std::move(target));
    }
    table.vms().eraseIf([&](auto& vm, auto&) { return !live.contains(vm); });

    auto select = [&](const std::string& destination, bool needsWeights) {
        Targets targets;
        for (auto& [member, target] : ready) {
            auto* replica = findServing(*member, destination, needsWeights);
            if (!replica)
                continue;
            target->setServingDigest(replica->servingDigest);
            target->setAdapters(replica->adapters);
            targets.push_back(target);
        }
        return targets;
    };
    std::set<std::string> declared;
    for (auto& pool : document.pools) {
        declared.insert(pool.name);
        publish(table, pool.name, select(pool.name, true), self.vm);
    }
    for (auto& service : document.services) {
        declared.insert(service.name);
        publish(table, service.name, select(service.name, false), self.vm);
    }
    table.pools().eraseIf([&](auto& name, auto&) { return !declared.contains(name); });
}

} // namespace Lavenderloft::Routing::Commands
