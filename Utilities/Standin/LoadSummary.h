#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Lavenderloft::Standin {

// What the callers of a load saw.
struct LoadSummary {
    uint64_t sent = 0;
    // Answers that were whole.
    uint64_t whole = 0;
    // Requests that ended with an error, by its code.
    std::map<std::string, uint64_t> failedByCode;
    // Whole answers by the digest of the weights.
    std::map<std::string, uint64_t> wholeByDigest;
    // Broken invariants.
    uint64_t mixedWeights = 0;
    uint64_t foreignAnswers = 0;
    // Answers that the system ended as complete and that were not.
    uint64_t incompleteTakenAsWhole = 0;
    // Of whole answers: time to the first token, and to the last.
    std::vector<std::chrono::microseconds> firstToken;
    std::vector<std::chrono::microseconds> total;

    uint64_t failed() const;

    // Requests that neither got an answer nor an error.
    uint64_t lost() const;

    bool hasInvariantViolation() const;

    void merge(const LoadSummary&);
};

// The summary with percentiles in milliseconds.
nlohmann::json toJson(const LoadSummary&);

} // namespace Lavenderloft::Standin
