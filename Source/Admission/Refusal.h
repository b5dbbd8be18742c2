#pragma once

#include "Base/Result.h"

#include <chrono>
#include <string>

namespace Lavenderloft::Admission {

// Why a request was not admitted. The numbers are those of the protocol.
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

// A refused attempt was certainly not run.
struct Refusal : Base::Error<RefusalReason> {
    // Whether another target may admit the request.
    bool retryElsewhere = false;
    std::chrono::milliseconds retryAfter {};
};

// A refusal with the retry advice that its reason implies.
Refusal makeRefusal(RefusalReason, std::string message, std::string remedy);

} // namespace Lavenderloft::Admission
