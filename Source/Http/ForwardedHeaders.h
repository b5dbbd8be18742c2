#pragma once

#include <string_view>

namespace Lavenderloft::Http {

// Whether a proxy forwards the header between caller and target. Headers of a single connection are not forwarded.
bool isForwarded(std::string_view name);

} // namespace Lavenderloft::Http
