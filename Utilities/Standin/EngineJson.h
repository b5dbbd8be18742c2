#pragma once

#include "Standin/EngineState.h"

#include <nlohmann/json.hpp>

// JSON encoding of the engine's messages. Parsing throws nlohmann::json::exception for members of the wrong type.
namespace Lavenderloft::Standin {

nlohmann::json toJson(const EngineStatus&);
nlohmann::json toJson(const EngineCounters&);

// Updates the behaviour with the members that the object contains.
void readBehaviour(const nlohmann::json&, EngineBehaviour&);

// Parses {"prompt","maxTokens","priority"}; only the prompt is required. The priority is
// a number or one of "hazard", "interactive" and "summary".
GenerationRequest readGenerationRequest(const nlohmann::json&, const std::string& crashMarker);

} // namespace Lavenderloft::Standin
