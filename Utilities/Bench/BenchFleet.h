#pragma once

#include "Bench/FakeAgent.h"
#include "Bench/FakeControl.h"
#include "Settings/ProcessSettings.h"

#include <string>

namespace Lavenderloft::Bench {

// Helpers of the request path benchmarks: members, documents and router settings of a fleet of fake agents.

inline const std::string benchDigest(64, 'b');

// A membership entry of a router; its region has the name of its data centre.
Membership::Member makeRouterMember(const std::string& vm, const std::string& dataCentre);

// A membership entry of an agent that serves one pool.
Membership::Member makeAgentMember(const std::string& vm, const std::string& address, const std::string& dataCentre, const std::string& pool, const Membership::TargetLoad&);

// A document with the given data centres, each in a region of the same name, and a route "/NAME" for each pool.
DesiredState::Document makeDocument(const std::vector<std::string>& dataCentres, const std::vector<std::string>& pools);

// Settings of a router that listens on ephemeral loopback ports in plain text.
Settings::ProcessSettings makeRouterSettings(const std::string& vm, uint64_t streamBudgetBytes);

} // namespace Lavenderloft::Bench
