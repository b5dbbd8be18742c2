#include "Admission/Refusal.h"

namespace Lavenderloft::Admission {

namespace {

    constexpr std::chrono::milliseconds briefDelay { 100 };
    constexpr std::chrono::milliseconds longDelay { 1000 };

    bool mayRunElsewhere(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::AtLimit:
        case RefusalReason::NotReady:
        case RefusalReason::Leaving:
        case RefusalReason::DataCentreOut:
        case RefusalReason::WrongDigest:
        case RefusalReason::PermitExpired:
        case RefusalReason::UnknownPool:
        case RefusalReason::NotKeyHome:
        case RefusalReason::AdapterNotLoaded:
            return true;
        default:
            return false;
        }
    }

    std::chrono::milliseconds delayBeforeRetry(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::AtLimit:
        case RefusalReason::KeyRunning:
            return briefDelay;
        case RefusalReason::NotReady:
        case RefusalReason::KeyMemoryFull:
            return longDelay;
        default:
            return {};
        }
    }

} // namespace

Refusal makeRefusal(RefusalReason reason, std::string message, std::string remedy)
{
    Refusal refusal;
    refusal.kind = reason;
    refusal.message = std::move(message);
    refusal.remedy = std::move(remedy);
    refusal.retryElsewhere = mayRunElsewhere(reason);
    refusal.retryAfter = delayBeforeRetry(reason);
    return refusal;
}

} // namespace Lavenderloft::Admission
