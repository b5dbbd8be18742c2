#pragma once

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <optional>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Lavenderloft::Soak {

// A program of this build that runs as a process of its own and is faulted by signals. LAVENDERLOFT_SOAK_PROGRAM names
// another build's program, for comparisons by hand.
class NodeProcess {
public:
    // With an option, the path of the settings is passed by it as well as in the environment.
    NodeProcess(std::string command, std::string settingsPath, std::string logPath, std::string settingsOption = {})
        : m_command(std::move(command))
        , m_settingsPath(std::move(settingsPath))
        , m_logPath(std::move(logPath))
        , m_settingsOption(std::move(settingsOption))
    {
        start();
    }

    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;
    ~NodeProcess() { kill(); }

    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0)
            runChild();
    }

    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    // Ends the process and waits for its end.
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    // Returns the wait status once the process has ended by itself or after a signal.
    std::optional<int> takeEnd()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = -1;
        return status;
    }

private:
    [[noreturn]] void runChild()
    {
        // The process ends with the test, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("LAVENDERLOFT_SETTINGS", m_settingsPath.c_str(), 1);
        const char* program = std::getenv("LAVENDERLOFT_SOAK_PROGRAM");
        constexpr char* end = nullptr;
        ::execl(program ? program : LAVENDERLOFT_BINARY_DIR "/lavenderloft", "lavenderloft", m_command.c_str(), m_settingsOption.empty() ? end : m_settingsOption.c_str(), m_settingsPath.c_str(), end);
        ::_exit(127);
    }

    std::string m_command;
    std::string m_settingsPath;
    std::string m_logPath;
    std::string m_settingsOption;
    pid_t m_pid = -1;
};

} // namespace Lavenderloft::Soak
