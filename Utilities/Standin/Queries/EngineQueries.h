#pragma once

#include "Standin/EngineState.h"

#include <optional>
#include <vector>

namespace Lavenderloft::Standin::Queries {

EngineBehaviour engineBehaviour(const EngineState&);
EngineCounters engineCounters(const EngineState&);
EngineStatus engineStatus(const EngineState&);

// Memory of all requests held, in bytes.
uint64_t requestMemory(const EngineState&);

// The requests that get a token in the next step: the highest priorities, then the oldest.
std::vector<std::shared_ptr<Generation>> nextBatch(const EngineState&);

// The time that a step of that many requests takes.
std::chrono::nanoseconds stepDuration(const EngineState&, size_t batch);

// The text of the token that the request gets next; empty while the engine cannot generate.
// It consists of the prefix of the weights and the adapter loaded now, the identifier and the number.
std::optional<std::string> nextTokenText(const EngineState&, const Generation&);

} // namespace Lavenderloft::Standin::Queries
