#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Lavenderloft::Standin {

// Results of a load generator.
struct LoadSummary {
    uint64_t sent = 0;
    // Complete and valid responses.
    uint64_t whole = 0;
    // Failed requests by error code.
    std::map<std::string, uint64_t> failedByCode;
    // Complete responses by weight digest.
    std::map<std::string, uint64_t> wholeByDigest;
    // Invariant violations: tokens from different weights, tokens of another request.
    uint64_t mixedWeights = 0;
    uint64_t foreignAnswers = 0;
    // Invariant violation: responses that were ended as complete but lack tokens or are malformed.
    uint64_t incompleteTakenAsWhole = 0;
    // Time to the first token and total time of each complete response.
    std::vector<std::chrono::microseconds> firstToken;
    std::vector<std::chrono::microseconds> total;

    uint64_t failed() const;

    // Requests that got neither a response nor an error.
    uint64_t lost() const;

    bool hasInvariantViolation() const;

    void merge(const LoadSummary&);
};

// Reports times as percentiles in milliseconds.
nlohmann::json toJson(const LoadSummary&);

} // namespace Lavenderloft::Standin
