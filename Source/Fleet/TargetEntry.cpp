#include "Fleet/TargetEntry.h"

namespace Lavenderloft::Fleet {

uint64_t wholeVersionOf(const std::optional<HeldLayers>& held, unsigned layers)
{
    bool isWhole = held && held->from == 0 && held->to >= layers;
    return isWhole ? held->version : 0;
}

} // namespace Lavenderloft::Fleet
