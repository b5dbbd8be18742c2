#pragma once

#include "Weights/OriginRecord.h"

namespace Lavenderloft::Weights::Queries {

// False during the back-off after a failure.
bool isOriginUsable(const OriginRecord&, Base::TimePoint);

} // namespace Lavenderloft::Weights::Queries
