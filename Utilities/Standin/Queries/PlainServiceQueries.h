#pragma once

#include "Standin/PlainServiceState.h"

namespace Lavenderloft::Standin::Queries {

uint64_t executionsOf(const PlainServiceState&, const std::string& callId);

ExecutionSummary executionSummary(const PlainServiceState&);

} // namespace Lavenderloft::Standin::Queries
