#include "Base/FileDescriptors.h"

#include <criterion/criterion.h>
#include <fstream>
#include <string>
#include <sys/resource.h>

using namespace Lavenderloft::Base;

namespace {

// Number of descriptors that fit into the table of this process.
size_t tableSize()
{
    std::ifstream status("/proc/self/status");
    const std::string name = "FDSize:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size()));
    }
    return 0;
}

} // namespace

// Guards against event loops that are blocked for hundreds of milliseconds when a new connection makes the descriptor table
// of a process with several threads grow.
Test(FileDescriptors, areReserved)
{
    cr_assert_lt(tableSize(), 2048);
    reserveFileDescriptors(2048);
    cr_assert_geq(tableSize(), 2048);
}

// Guards against a reservation that fails as a whole because the limit of the process is lower.
Test(FileDescriptors, areReservedUpToTheLimit)
{
    rlimit limit { 700, 700 };
    cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &limit), 0);
    reserveFileDescriptors(100000);
    cr_assert_geq(tableSize(), 700);
}
