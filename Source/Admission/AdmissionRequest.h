#pragma once

#include "DesiredState/Document.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Lavenderloft::Admission {

// Request of a router to run an attempt, sent before the body.
struct AdmissionRequest {
    // Random identifier of the attempt.
    std::string attemptId;
    std::string requestId;
    std::string organisation;
    DesiredState::PriorityClass priorityClass = DesiredState::PriorityClass::Interactive;
    // Time until the caller's deadline; zero means no deadline.
    std::chrono::milliseconds deadline {};
    // Pool or plain service.
    std::string pool;
    // Expected manifest digest; empty for a plain service.
    std::string weightsDigest;
    std::string idempotencyKey;
    bool repeatable = false;
    uint64_t bodyBytes = 0;
    uint64_t revision = 0;
    // Hash of organisation and body.
    uint64_t fingerprint = 0;
    // First token requested from a model engine.
    uint64_t resumeFromToken = 0;
    // Digest of the requested adapter; empty for the base model.
    std::string adapter;
};

} // namespace Lavenderloft::Admission
