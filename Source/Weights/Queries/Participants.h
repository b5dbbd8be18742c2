#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"
#include "Weights/PeerClient.h"

namespace Lavenderloft::Weights::Queries {

// The agents that want or serve the manifest, this one included, in order of their names. A member takes part when it
// reports the manifest itself or a pool that lists it, as version or adapter.
std::vector<Participant> findParticipants(const std::vector<Membership::Member>&, const DesiredState::Document*, const std::string& manifestDigest, const Participant& self);

} // namespace Lavenderloft::Weights::Queries
