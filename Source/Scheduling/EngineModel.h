#pragma once

#include "Base/Clock.h"
#include "Scheduling/QueuedWork.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Lavenderloft::Scheduling {

// Speed of the engines of a service. A writer is a request that is writing its output.
struct EngineParameters {
    // A token step takes `step`, and these for each writer and for each 1,000 tokens of a writer's context.
    Base::Duration step {};
    Base::Duration stepPerWriter {};
    Base::Duration stepPerThousandContext {};
    // Reading a prompt takes these for each token, and for each million pairs of a token and an earlier one.
    Base::Duration readPerToken {};
    Base::Duration readPerMillionPairs {};
    // Most prompt tokens that a pass reads.
    unsigned chunk = 0;
    // Token steps in a pass, if there are writers.
    unsigned stride = 0;
    // Mean numbers of tokens.
    RequestSize usual;
    // Age of the values in the engine's own report.
    Base::Duration reportLag {};
    // One-way delays between data centres, from the first to the second.
    std::map<std::pair<std::string, std::string>, Base::Duration> delays;
};

// What an engine does besides a new request.
struct EngineOccupation {
    double writers = 0;
    // Prompt tokens that it reads first.
    double promptTokensAhead = 0;
};

// Times from the arrival of a request at its engine.
struct PredictedResponse {
    Base::Duration firstEvent {};
    Base::Duration finish {};
};

// Predicts how long an engine takes for a request. An engine reads prompts one after the other, a chunk in each pass; in the
// same pass it executes the steps of the requests that write. The last pass over a prompt yields the first event.
class EngineModel {
public:
    // Callers state the tokens themselves; none may claim more work than an engine has memory for.
    static constexpr uint64_t maximumTokens = 1'000'000;

    // Returns null if a value is missing, negative or longer than a prediction may be.
    static std::shared_ptr<const EngineModel> create(EngineParameters);

    PredictedResponse predict(const RequestSize&, const EngineOccupation&) const;

    // Part of its time at an otherwise idle engine that a usual request is being read.
    double usualReadingShare() const { return m_usualReadingShare; }
    // Of a usual request.
    double usualPromptTokens() const { return static_cast<double>(m_parameters.usual.promptTokens); }

    // One-way delay between two data centres, zero if it is unknown or if they are the same.
    Base::Duration delayBetween(const std::string& from, const std::string& to) const;

    const EngineParameters& parameters() const { return m_parameters; }

private:
    explicit EngineModel(EngineParameters);

    // Nanoseconds of a token step.
    double stepTime(double writers) const;

    EngineParameters m_parameters;
    double m_usualReadingShare = 0;
};

} // namespace Lavenderloft::Scheduling
