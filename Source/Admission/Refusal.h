#pragma once

#include "Base/Result.h"

#include <chrono>
#include <string>

namespace Lavenderloft::Admission {

// Reason of a refusal, with the numbers of the protocol.
enum class RefusalReason {
    Unspecified = 0,
    AtLimit = 1,
    NotReady = 2,
    Leaving = 3,
    DataCentreOut = 4,
    WrongDigest = 5,
    NotKeyHome = 6,
    KeyNotVouched = 7,
    KeyRunning = 8,
    KeyOutcomeUnknown = 9,
    KeyMemoryFull = 10,
    PermitExpired = 11,
    TooLarge = 12,
    Quarantined = 13,
    UnknownPool = 14,
    Deadline = 15,
    KeyRequired = 16,
    KeyReused = 17,
    AdapterNotLoaded = 18,
};

// A refused attempt has not run.
struct Refusal : Base::Error<RefusalReason> {
    // Whether another target may admit the request.
    bool retryElsewhere = false;
    std::chrono::milliseconds retryAfter {};
};

// Creates a refusal with the retry settings for its reason.
Refusal makeRefusal(RefusalReason, std::string message, std::string remedy);

} // namespace Lavenderloft::Admission
