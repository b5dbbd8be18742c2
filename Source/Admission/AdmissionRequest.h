#pragma once

#include "DesiredState/Document.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Lavenderloft::Admission {

// What a router tells of a request before it may send it.
struct AdmissionRequest {
    // Drawn at random for each attempt.
    std::string attemptId;
    std::string requestId;
    std::string organisation;
    DesiredState::PriorityClass priorityClass = DesiredState::PriorityClass::Interactive;
    // Time left until the caller gives up; zero means no deadline.
    std::chrono::milliseconds deadline {};
    // Name of the pool or plain service.
    std::string pool;
    // Digest of the manifest expected; empty for a plain service.
    std::string weightsDigest;
    std::string idempotencyKey;
    bool repeatable = false;
    uint64_t bodyBytes = 0;
    uint64_t revision = 0;
    // Hash of organisation and body.
    uint64_t fingerprint = 0;
    // Number of the first token wanted from a model engine.
    uint64_t resumeFromToken = 0;
    // Digest of the adapter that is to answer; empty for the base model.
    std::string adapter;
};

} // namespace Lavenderloft::Admission
