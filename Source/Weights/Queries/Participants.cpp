#include "Weights/Queries/Participants.h"

#include <algorithm>

namespace Lavenderloft::Weights::Queries {

namespace {

    bool poolUsesManifest(const DesiredState::Document* document, const std::string& poolName, const std::string& manifestDigest)
    {
        auto* pool = document ? document->findPool(poolName) : nullptr;
        return pool && (pool->manifest == manifestDigest || std::find(pool->adapters.begin(), pool->adapters.end(), manifestDigest) != pool->adapters.end());
    }

    bool isParticipant(const Membership::Member& member, const DesiredState::Document* document, const std::string& manifestDigest)
    {
        if (member.role != Membership::Role::Agent || member.status == Membership::Status::Dead || member.status == Membership::Status::Leaving)
            return false;
        return std::any_of(member.replicas.begin(), member.replicas.end(), [&](auto& replica) {
            return replica.wantedDigest == manifestDigest || replica.servingDigest == manifestDigest || poolUsesManifest(document, replica.pool, manifestDigest);
        });
    }

} // namespace

std::vector<Participant> findParticipants(const std::vector<Membership::Member>& members, const DesiredState::Document* document, const std::string& manifestDigest, const Participant& self)
{
    std::vector<Participant> participants { self };
    for (auto& member : members) {
        if (member.vm != self.vm && isParticipant(member, document, manifestDigest))
            participants.push_back({ member.vm, member.address, member.dataCentre, member.region });
    }
    std::sort(participants.begin(), participants.end(), [](auto& left, auto& right) { return left.vm < right.vm; });
    return participants;
}

} // namespace Lavenderloft::Weights::Queries
