#pragma once

#include <string>
#include <vector>

namespace Lavenderloft::Bench {

// A whole-number option of a benchmark.
struct BenchOption {
    const char* name;
    int* value;
    const char* description;
};

// Reads "--name number" options with popt. Writes what is wrong to standard error and returns false.
bool parseOptions(const std::vector<std::string>& arguments, const std::vector<BenchOption>&);

} // namespace Lavenderloft::Bench
