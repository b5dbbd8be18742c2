#pragma once

#include "Base/Digest.h"
#include "Json/ParsedFile.h"
#include "Json/TextChecks.h"

#include <algorithm>
#include <cstdlib>

// Checks shared by the fuzz targets. A failed check aborts; libFuzzer then reports the input.
namespace Lavenderloft::Fuzzing {

inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

// Requires text without control characters, which would break a log line.
inline void checkPrintable(const std::string& text)
{
    require(!text.empty() && std::none_of(text.begin(), text.end(), [](char c) { return (c >= 0 && c < ' ') || c == 0x7f; }));
}

// Requires a bounded number of problems, each with a printable description, a message and a remedy.
inline void checkError(const Json::CheckError& error)
{
    require(!error.problems.empty() && error.problems.size() <= Json::maxProblems + 1);
    for (auto& problem : error.problems) {
        require(!problem.message.empty() && !problem.remedy.empty());
        checkPrintable(problem.describe());
    }
}

} // namespace Lavenderloft::Fuzzing
