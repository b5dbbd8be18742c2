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
        throw std::runtime_error("cannot write to the benchmark pipe: the peer process has exited");
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
    int toChild[2];
    int fromChild[2];
    if (pipe2(toChild, O_CLOEXEC) || pipe2(fromChild, O_CLOEXEC))
        throw std::runtime_error("cannot create the pipes to a benchmark child process");
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot fork a benchmark child process");
    if (m_pid == 0) {
        close(toChild[1]);
        close(fromChild[0]);
        ParentLink link(toChild[0], fromChild[1]);
        work(link);
        _exit(0);
    }
    close(toChild[0]);
    close(fromChild[1]);
    m_readEnd = fromChild[0];
    m_writeEnd = toChild[1];
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
        throw std::runtime_error("benchmark child process " + std::to_string(m_pid) + " exited before it sent its result");
    return *line;
}

void ChildProcess::useProcessors(unsigned first, unsigned count)
{
    cpu_set_t set;
    CPU_ZERO(&set);
    for (unsigned i = first; i < first + count; ++i)
        CPU_SET(i, &set);
    if (sched_setaffinity(m_pid, sizeof set, &set))
        throw std::runtime_error("cannot restrict benchmark child process " + std::to_string(m_pid) + " to " + std::to_string(count) + " processors");
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
    // Field 2, the command name, may contain spaces, so parsing starts behind its closing parenthesis.
    // Fields 14 and 15 are user and system time.
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
