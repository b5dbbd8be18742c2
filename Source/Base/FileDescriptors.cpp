#include "Base/FileDescriptors.h"

#include <algorithm>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace Lavenderloft::Base {

void reserveFileDescriptors(size_t count)
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    auto reserved = std::min<rlim_t>(count, limit.rlim_cur);
    int source = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (source < 0)
        return;
    // The table does not shrink when its last descriptor is closed.
    int highest = ::fcntl(source, F_DUPFD_CLOEXEC, static_cast<int>(reserved - 1));
    if (highest >= 0)
        ::close(highest);
    ::close(source);
}

size_t fileDescriptorLimit()
{
    constexpr size_t usualLimit = 1024;
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return usualLimit;
    return limit.rlim_cur;
}

} // namespace Lavenderloft::Base
