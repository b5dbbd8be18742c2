#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace Lavenderloft::Json {

// A member of an object as it was written. The name includes its quotation marks and escapes.
struct RawMember {
    std::string_view name;
    std::string_view value;
};

// Split the text of an object or an array into its parts without reading them, so that one part that can't be read
// doesn't hide the others. Return nullopt if the text is no object or array, or has too many parts. The parts may be
// malformed.
std::optional<std::vector<RawMember>> splitObject(std::string_view text);
std::optional<std::vector<std::string_view>> splitArray(std::string_view text);

} // namespace Lavenderloft::Json
