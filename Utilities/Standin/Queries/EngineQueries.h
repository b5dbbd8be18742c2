#pragma once

#include "Standin/EngineState.h"

#include <optional>
#include <vector>

namespace Lavenderloft::Standin::Queries {

EngineBehaviour engineBehaviour(const EngineState&);
EngineCounters engineCounters(const EngineState&);
EngineStatus engineStatus(const EngineState&);

// Memory of all held requests, in bytes.
uint64_t requestMemory(const EngineState&);

// The requests that get a token in the next step, by descending priority, then by age.
std::vector<std::shared_ptr<Generation>> nextBatch(const EngineState&);

// Duration of a step for this number of requests.
std::chrono::nanoseconds stepDuration(const EngineState&, size_t batch);

// The next token of the request, with the prefix of the weights and the adapter that are loaded now; nullopt unless the
// engine is cold or ready.
std::optional<std::string> nextTokenText(const EngineState&, const Generation&);

} // namespace Lavenderloft::Standin::Queries
