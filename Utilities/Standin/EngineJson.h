#pragma once

#include "Standin/EngineState.h"

#include <nlohmann/json.hpp>

// JSON of the engine's messages. Readers throw nlohmann::json::exception for members of a wrong type.
namespace Lavenderloft::Standin {

nlohmann::json toJson(const EngineStatus&);
nlohmann::json toJson(const EngineCounters&);

// Replaces the members of the behaviour that the object names.
void readBehaviour(const nlohmann::json&, EngineBehaviour&);

// Reads {"prompt","maxTokens","priority"}; all but the prompt may be absent. The priority is
// a number or one of "hazard", "interactive" and "summary".
GenerationRequest readGenerationRequest(const nlohmann::json&, const std::string& crashMarker);

} // namespace Lavenderloft::Standin
