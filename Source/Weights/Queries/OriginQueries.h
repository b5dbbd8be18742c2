#pragma once

#include "Weights/OriginRecord.h"

namespace Lavenderloft::Weights::Queries {

// False during the backoff after a failure.
bool isOriginUsable(const OriginRecord&, Base::TimePoint);

} // namespace Lavenderloft::Weights::Queries
