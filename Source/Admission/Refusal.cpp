#include "Admission/Refusal.h"

namespace Lavenderloft::Admission {

namespace {

    constexpr std::chrono::milliseconds shortRetryDelay { 100 };
    constexpr std::chrono::milliseconds longRetryDelay { 1000 };

    bool isRetryableElsewhere(RefusalReason reason)
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

    std::chrono::milliseconds retryDelay(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::AtLimit:
        case RefusalReason::KeyRunning:
            return shortRetryDelay;
        case RefusalReason::NotReady:
        case RefusalReason::KeyMemoryFull:
            return longRetryDelay;
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
    refusal.retryElsewhere = isRetryableElsewhere(reason);
    refusal.retryAfter = retryDelay(reason);
    return refusal;
}

} // namespace Lavenderloft::Admission
