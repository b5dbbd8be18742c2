#include "Dispatch/PartEvidence.h"

#include <array>
#include <charconv>

namespace Lavenderloft::Dispatch {

std::string formatPartId(uint64_t part)
{
    std::array<char, 16> digits {};
    auto* end = std::to_chars(digits.data(), digits.data() + digits.size(), part, 16).ptr;
    return { digits.data(), end };
}

} // namespace Lavenderloft::Dispatch
