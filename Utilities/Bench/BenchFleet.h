#pragma once

#include "Bench/FakeAgent.h"
#include "Bench/FakeControl.h"
#include "Settings/ProcessSettings.h"

#include <string>

namespace Lavenderloft::Bench {

// Parts of a fleet that benchmarks of the live path share: pools on fake agents.

inline const std::string benchDigest(64, 'b');

// A router of a data centre as the control plane lists it.
Membership::Member makeRouterMember(const std::string& vm, const std::string& dataCentre);

// An agent that serves a pool.
Membership::Member makeAgentMember(const std::string& vm, const std::string& address, const std::string& dataCentre, const std::string& pool, const Membership::TargetLoad&);

// A document with the data centres, each in a region of its own name, and a route "/NAME" for each pool.
DesiredState::Document makeDocument(const std::vector<std::string>& dataCentres, const std::vector<std::string>& pools);

// Settings of a router on free ports.
Settings::ProcessSettings makeRouterSettings(const std::string& vm, uint64_t streamBudgetBytes);

} // namespace Lavenderloft::Bench
