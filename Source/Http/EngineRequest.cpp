#include "Http/EngineRequest.h"

#include <nlohmann/json.hpp>

namespace Lavenderloft::Http {

std::string withPriority(const std::string& body, DesiredState::PriorityClass priorityClass)
{
    auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object())
        return body;
    object["priority"] = DesiredState::priorityClassCount - 1 - static_cast<size_t>(priorityClass);
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Lavenderloft::Http
