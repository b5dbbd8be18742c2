#include "Routing/IdempotencyKey.h"

#include <cstdio>

namespace Lavenderloft::Routing {

std::string makeIdempotencyKey(Base::WallTime time, Base::RandomSource& random)
{
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    auto issued = static_cast<uint64_t>(milliseconds) & 0xffffffffffffULL;
    auto first = random.next();
    auto second = random.next();
    char text[37];
    std::snprintf(text, sizeof text, "%08x-%04x-7%03x-%04x-%012llx",
        static_cast<unsigned>(issued >> 16), static_cast<unsigned>(issued & 0xffff), static_cast<unsigned>(first & 0xfff),
        static_cast<unsigned>(0x8000 | ((first >> 12) & 0x3fff)), static_cast<unsigned long long>(second & 0xffffffffffffULL));
    return text;
}

} // namespace Lavenderloft::Routing
