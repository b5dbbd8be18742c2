#pragma once

#include "Base/ShardedMap.h"
#include "Routing/Target.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Routing {

using Targets = std::vector<std::shared_ptr<Target>>;

// The targets known to a router. The lists are immutable, so a selection holds a shard's lock only for the
// lookup. Modified by Commands/UpdateTargets, read by Queries/SelectTarget.
class TargetTable {
public:
    using Pools = Base::ShardedMap<std::string, std::shared_ptr<const Targets>>;
    using Vms = Base::ShardedMap<std::string, std::shared_ptr<Target>>;

    // The router's subset of ready targets by pool or plain service.
    Pools& pools() { return m_pools; }
    const Pools& pools() const { return m_pools; }

    // All live agents by VM name, including those that are not ready. Used to find key homes.
    Vms& vms() { return m_vms; }
    const Vms& vms() const { return m_vms; }

private:
    Pools m_pools;
    Vms m_vms;
};

} // namespace Lavenderloft::Routing
