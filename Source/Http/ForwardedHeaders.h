#pragma once

#include <string_view>

namespace Lavenderloft::Http {

// Whether a header is passed on between caller and target. Headers that concern one connection are not.
bool isForwarded(std::string_view name);

} // namespace Lavenderloft::Http
