#include "Weights/Commands/OriginCommands.h"

#include "Weights/Queries/SourceSelection.h"

namespace Lavenderloft::Weights::Commands {

void recordOriginSuccess(OriginRecord& record)
{
    std::lock_guard guard(record.lock);
    record.failures = 0;
}

void recordOriginFailure(OriginRecord& record, Base::TimePoint now)
{
    std::lock_guard guard(record.lock);
    record.backoffUntil = now + Queries::originBackoff(++record.failures);
}

} // namespace Lavenderloft::Weights::Commands
