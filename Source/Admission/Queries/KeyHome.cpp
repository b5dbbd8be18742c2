#include "Admission/Queries/KeyHome.h"

#include "Admission/IdempotencyKeyTable.h"
#include "Base/RendezvousHash.h"

namespace Lavenderloft::Admission::Queries {

std::string keyHome(const DesiredState::Service& service, const std::string& organisation, const std::string& key)
{
    return Base::chooseMember(keyName(organisation, key), service.vms);
}

} // namespace Lavenderloft::Admission::Queries
