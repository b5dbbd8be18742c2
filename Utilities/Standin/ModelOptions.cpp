#include "Standin/ModelOptions.h"

#include "Standin/JsonResponse.h"

#include <sstream>
#include <stdexcept>

namespace Lavenderloft::Standin {

namespace {

    uint64_t numberField(const std::vector<std::string>& parts, size_t index, uint64_t fallback)
    {
        if (index >= parts.size())
            return fallback;
        auto number = parseNumber(parts[index]);
        if (!number)
            throw std::invalid_argument("\"" + parts[index] + "\" is not a number; expected MODEL:VERSION:SIZE:CHUNKSIZE[:SEED[:SHAREDPERCENT]]");
        return *number;
    }

} // namespace

ModelSpec modelSpecFromJson(const nlohmann::json& value)
{
    try {
        ModelSpec spec;
        spec.description = { value.at("model"), value.at("version"), value.at("sizeBytes"), value.at("chunkSize") };
        spec.seed = value.value("seed", spec.seed);
        spec.sharedPercent = value.value("sharedPercent", spec.sharedPercent);
        return spec;
    } catch (const nlohmann::json::exception& error) {
        throw std::invalid_argument(error.what());
    }
}

ModelSpec modelSpecFromText(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ':');)
        parts.push_back(part);
    if (parts.size() < 4 || parts.size() > 6)
        throw std::invalid_argument("model \"" + text + "\" is malformed; expected MODEL:VERSION:SIZE:CHUNKSIZE[:SEED[:SHAREDPERCENT]]");
    ModelSpec spec;
    spec.description = { parts[0], parts[1], numberField(parts, 2, 0), numberField(parts, 3, 0) };
    spec.seed = numberField(parts, 4, spec.seed);
    spec.sharedPercent = static_cast<unsigned>(numberField(parts, 5, spec.sharedPercent));
    return spec;
}

} // namespace Lavenderloft::Standin
