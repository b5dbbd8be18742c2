#include "Json/Value.h"

#include <algorithm>
#include <array>

namespace Lavenderloft::Json {

const Value* Value::find(std::string_view name) const
{
    auto* object = asObject();
    if (!object)
        return nullptr;
    auto member = std::find_if(object->begin(), object->end(), [&](const Member& candidate) { return candidate.name == name; });
    return member == object->end() ? nullptr : &member->value;
}

std::string_view Value::describeType() const
{
    // Indexed by the alternative of `data`.
    static constexpr std::array<std::string_view, 8> names { "null", "a boolean", "a number", "a number", "a number", "a string", "an array", "an object" };
    return names[data.index()];
}

} // namespace Lavenderloft::Json
