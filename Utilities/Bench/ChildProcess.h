#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Lavenderloft::Bench {

// The child's end of the pipes to its parent; messages are lines of text.
class ParentLink {
public:
    ParentLink(int readEnd, int writeEnd);

    void writeLine(const std::string&);

    // Returns no value once the parent has closed its end.
    std::optional<std::string> readLine();

private:
    int m_readEnd;
    int m_writeEnd;
};

// Runs a part of a benchmark in a forked process, so that its CPU time and memory are measured apart from those
// of the load generator. Must be constructed before this process starts threads, because fork() copies only the
// calling thread.
class ChildProcess {
public:
    // Runs the function in the child, which exits when the function returns.
    explicit ChildProcess(const std::function<void(ParentLink&)>&);

    // Closes the pipes and waits for the child to exit.
    ~ChildProcess();

    void writeLine(const std::string&);
    std::string readLine();

    // Restricts all threads of the child to `count` processors, starting at index `first`.
    void useProcessors(unsigned first, unsigned count);

    uint64_t residentBytes() const;

    uint64_t peakResidentBytes() const;

    // User and system CPU time since the child started, in seconds.
    double processorSeconds() const;

private:
    pid_t m_pid = -1;
    std::optional<ParentLink> m_link;
    int m_readEnd = -1;
    int m_writeEnd = -1;
};

} // namespace Lavenderloft::Bench
