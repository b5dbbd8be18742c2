#include "Standin/JsonValue.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Lavenderloft::Standin {

std::string valueAt(const std::string& json, const std::string& pointer)
{
    try {
        auto document = nlohmann::json::parse(json);
        nlohmann::json::json_pointer path(pointer);
        if (!document.contains(path))
            return {};
        auto& value = document.at(path);
        return value.is_string() ? value.get<std::string>() : value.dump();
    } catch (const nlohmann::json::exception& error) {
        throw std::runtime_error("cannot read JSON value at \"" + pointer + "\": " + error.what());
    }
}

} // namespace Lavenderloft::Standin
