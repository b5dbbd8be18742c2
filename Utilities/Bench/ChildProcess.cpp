#include "Bench/ChildProcess.h"

#include <fcntl.h>
#include <fstream>
#include <sched.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace Lavenderloft::Bench {

ParentLink::ParentLink(int readEnd, int writeEnd)
    : m_readEnd(readEnd)
    , m_writeEnd(writeEnd)
{
}

void ParentLink::writeLine(const std::string& line)
{
    auto text = line + "\n";
    if (write(m_writeEnd, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        throw std::runtime_error("the other process of the benchmark has ended");
}

std::optional<std::string> ParentLink::readLine()
{
    std::string line;
    char byte = 0;
    while (read(m_readEnd, &byte, 1) == 1) {
        if (byte == '\n')
            return line;
        line += byte;
    }
    return std::nullopt;
}

ChildProcess::ChildProcess(const std::function<void(ParentLink&)>& work)
{
    int down[2];
    int up[2];
    if (pipe2(down, O_CLOEXEC) || pipe2(up, O_CLOEXEC))
        throw std::runtime_error("cannot make a pipe");
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot start a process");
    if (m_pid == 0) {
        close(down[1]);
        close(up[0]);
        ParentLink link(down[0], up[1]);
        work(link);
        _exit(0);
    }
    close(down[0]);
    close(up[1]);
    m_readEnd = up[0];
    m_writeEnd = down[1];
    m_link.emplace(m_readEnd, m_writeEnd);
}

ChildProcess::~ChildProcess()
{
    close(m_writeEnd);
    close(m_readEnd);
    waitpid(m_pid, nullptr, 0);
}

void ChildProcess::writeLine(const std::string& line)
{
    m_link->writeLine(line);
}

std::string ChildProcess::readLine()
{
    auto line = m_link->readLine();
    if (!line)
        throw std::runtime_error("a process of the benchmark has ended early");
    return *line;
}

void ChildProcess::useProcessors(unsigned first, unsigned count)
{
    cpu_set_t set;
    CPU_ZERO(&set);
    for (unsigned i = first; i < first + count; ++i)
        CPU_SET(i, &set);
    if (sched_setaffinity(m_pid, sizeof set, &set))
        throw std::runtime_error("cannot restrict a process to " + std::to_string(count) + " processors");
}

uint64_t ChildProcess::residentBytes() const
{
    std::ifstream statm("/proc/" + std::to_string(m_pid) + "/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

uint64_t ChildProcess::peakResidentBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string field;
    uint64_t kibibytes = 0;
    while (status >> field) {
        if (field == "VmHWM:")
            status >> kibibytes;
    }
    return kibibytes * 1024;
}

double ChildProcess::processorSeconds() const
{
    std::ifstream stat("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    // Fields are counted after the name, which may hold spaces; user and system time are 14 and 15.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    uint64_t user = 0;
    uint64_t system = 0;
    fields >> user >> system;
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace Lavenderloft::Bench
