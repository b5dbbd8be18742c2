#pragma once

#include "Json/Problem.h"

#include <string>

namespace Lavenderloft::Json {

// Receives the problems that the checks of a value find.
class ProblemSink {
public:
    virtual ~ProblemSink() = default;

    virtual void addProblem(ProblemKind, std::string pointer, std::string message, std::string remedy) = 0;
};

} // namespace Lavenderloft::Json
