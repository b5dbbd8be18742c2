#pragma once

#include "Base/Digest.h"
#include "Json/ParsedFile.h"
#include "Json/TextChecks.h"

#include <algorithm>
#include <cstdlib>

// Checks that the fuzz targets share. A failed check aborts, which libFuzzer reports with its input.
namespace Lavenderloft::Fuzzing {

inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

// Errors are bounded, printable and complete.
inline void checkError(const Json::CheckError& error)
{
    require(!error.problems.empty() && error.problems.size() <= Json::maxProblems + 1);
    for (auto& problem : error.problems) {
        auto text = problem.describe();
        require(!problem.message.empty() && !problem.remedy.empty());
        require(std::none_of(text.begin(), text.end(), [](char c) { return (c >= 0 && c < ' ') || c == 0x7f; }));
    }
}

} // namespace Lavenderloft::Fuzzing
