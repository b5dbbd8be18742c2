#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"
#include "Weights/PeerClient.h"

namespace Lavenderloft::Weights::Queries {

// The agents that want or serve the manifest, including this one, sorted by VM name. A member is a participant when it
// reports the manifest itself or a pool that lists it as version or adapter.
std::vector<Participant> findParticipants(const std::vector<Membership::Member>&, const DesiredState::Document*, const std::string& manifestDigest, const Participant& self);

} // namespace Lavenderloft::Weights::Queries
