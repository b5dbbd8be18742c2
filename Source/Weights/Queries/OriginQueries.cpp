#include "Weights/Queries/OriginQueries.h"

namespace Lavenderloft::Weights::Queries {

bool isOriginUsable(const OriginRecord& record, Base::TimePoint now)
{
    std::lock_guard guard(record.lock);
    return now >= record.backoffUntil;
}

} // namespace Lavenderloft::Weights::Queries
