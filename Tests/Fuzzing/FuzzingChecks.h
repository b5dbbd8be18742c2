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

// The text holds no character that would break a log line.
inline void checkPrintable(const std::string& text)
{
    require(!text.empty() && std::none_of(text.begin(), text.end(), [](char c) { return (c >= 0 && c < ' ') || c == 0x7f; }));
}

// Errors are bounded, printable and complete.
inline void checkError(const Json::CheckError& error)
{
    require(!error.problems.empty() && error.problems.size() <= Json::maxProblems + 1);
    for (auto& problem : error.problems) {
        require(!problem.message.empty() && !problem.remedy.empty());
        checkPrintable(problem.describe());
    }
}

} // namespace Lavenderloft::Fuzzing
