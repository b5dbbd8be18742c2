#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Lavenderloft::Bench {

// The child's end: lines to and from the parent.
class ParentLink {
public:
    ParentLink(int readEnd, int writeEnd);

    void writeLine(const std::string&);

    // Empty once the parent has closed its end.
    std::optional<std::string> readLine();

private:
    int m_readEnd;
    int m_writeEnd;
};

// A part of a benchmark in a process of its own, so that its processor time and memory can be told
// from those of the load. Must be made before this process starts threads.
class ChildProcess {
public:
    // Runs the function in the child, which ends when the function returns.
    explicit ChildProcess(const std::function<void(ParentLink&)>&);

    // Closes the link and waits for the child to end.
    ~ChildProcess();

    void writeLine(const std::string&);
    std::string readLine();

    // Restricts all threads of the child to the processors from `first` on.
    void useProcessors(unsigned first, unsigned count);

    // Resident memory in bytes.
    uint64_t residentBytes() const;

    // The most that was resident at any time so far.
    uint64_t peakResidentBytes() const;

    // Processor time used so far in seconds.
    double processorSeconds() const;

private:
    pid_t m_pid = -1;
    std::optional<ParentLink> m_link;
    int m_readEnd = -1;
    int m_writeEnd = -1;
};

} // namespace Lavenderloft::Bench
