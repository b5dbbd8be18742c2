#pragma once

#include "Weights/OriginRecord.h"

namespace Lavenderloft::Weights::Queries {

// False during the pause after a failure.
bool isOriginUsable(const OriginRecord&, Base::TimePoint);

} // namespace Lavenderloft::Weights::Queries
