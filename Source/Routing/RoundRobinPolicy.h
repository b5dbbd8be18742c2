#pragma once

#include "Routing/TargetPolicy.h"

#include <atomic>

namespace Lavenderloft::Routing {

// Chooses targets in turn, regardless of load and distance. Serves as the baseline in benchmarks.
class RoundRobinPolicy final : public TargetPolicy {
public:
    std::string_view name() const override { return "round-robin"; }
    size_t choose(const Targets& targets, uint64_t, Base::RandomSource&) const override { return m_next++ % targets.size(); }
    bool ignoresTiers() const override { return true; }

private:
    mutable std::atomic<size_t> m_next { 0 };
};

} // namespace Lavenderloft::Routing
