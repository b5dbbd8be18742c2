#include "Base/RandomSource.h"

#include <array>
#include <cstdio>

namespace Lavenderloft::Base {

std::string RandomSource::nextIdentifier()
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016lx%016lx", static_cast<unsigned long>(next()), static_cast<unsigned long>(next()));
    return text.data();
}

} // namespace Lavenderloft::Base
