#include "Observability/Log.h"

#include <chrono>
#include <criterion/criterion.h>
#include <csignal>
#include <optional>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace Lavenderloft::Observability;
using namespace std::chrono_literals;

namespace {

constexpr Event blockedEvent { 9999, "blocked-output", Level::Error, "For this test." };
// SIGKILL follows SIGTERM after this time (grace_s).
constexpr auto grace = 8s;

// Logs more than the pipe and the buffer take, and ends.
[[noreturn]] void runWithoutReader(int output)
{
    ::dup2(output, STDOUT_FILENO);
    configureRateLimitedLogging(Level::Info, Layout::Json, Output::StandardOutput);
    std::string text(4096, 'x');
    for (int i = 0; i < 1000; ++i)
        logEvent(blockedEvent, { { "text", text } });
    exitProcess(3);
}

std::optional<int> waitForEnd(pid_t process)
{
    auto until = std::chrono::steady_clock::now() + grace;
    while (std::chrono::steady_clock::now() < until) {
        int status = 0;
        if (::waitpid(process, &status, WNOHANG) == process)
            return status;
        std::this_thread::sleep_for(20ms);
    }
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    return std::nullopt;
}

} // namespace

// Guards against a process that does not end after SIGTERM because nobody reads its log.
Test(BlockedOutput, doesNotKeepTheProcess)
{
    int ends[2];
    cr_assert_eq(::pipe(ends), 0);
    auto process = ::fork();
    if (process == 0)
        runWithoutReader(ends[1]);
    auto status = waitForEnd(process);
    cr_assert(status.has_value(), "the process has not ended");
    cr_expect(WIFEXITED(*status));
    cr_expect_eq(WEXITSTATUS(*status), 3);
}
