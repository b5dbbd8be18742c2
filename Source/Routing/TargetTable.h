#pragma once

#include "Base/ShardedMap.h"
#include "Routing/Target.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Routing {

using Targets = std::vector<std::shared_ptr<Target>>;

// The targets known to a router. Readers get immutable lists, so that a selection holds a shard's lock
// only for a lookup. Written by Commands/UpdateTargets, read by Queries/SelectTarget.
class TargetTable {
public:
    using Pools = Base::ShardedMap<std::string, std::shared_ptr<const Targets>>;
    using Vms = Base::ShardedMap<std::string, std::shared_ptr<Target>>;

    // The router's subset of each pool and plain service, by name: ready targets only.
    Pools& pools() { return m_pools; }
    const Pools& pools() const { return m_pools; }

    // Every live agent by the name of its VM, ready or not, for key homes.
    Vms& vms() { return m_vms; }
    const Vms& vms() const { return m_vms; }

private:
    Pools m_pools;
    Vms m_vms;
};

} // namespace Lavenderloft::Routing
