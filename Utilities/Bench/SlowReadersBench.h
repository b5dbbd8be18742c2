#pragma once

#include "CommandLine/Command.h"

#include <cstdint>
#include <string>

namespace Lavenderloft::Bench {

struct SlowReadersOptions {
    int readers = 1000;
    int seconds = 5;
    int rate = 300;
    int budgetMebibytes = 32;
    int answerKibibytes = 1024;
    int seed = 1;
};

// One run, with back pressure and budget or with unbounded buffers.
struct SlowReadersResult {
    uint64_t budgetBytes = 0;
    uint64_t peakHeldBytes = 0;
    uint64_t residentBytesBefore = 0;
    // A second after all readers started at once, and at the end.
    uint64_t residentBytesBurst = 0;
    uint64_t residentBytesSettled = 0;
    // The most during the phase with slow readers.
    uint64_t residentBytesPeak = 0;
    unsigned readers = 0;
    // Streams that the router cut, and answers that ended without and with the final chunk.
    unsigned readersCut = 0;
    unsigned answersCut = 0;
    unsigned answersWhole = 0;
    size_t fastCalls = 0;
    size_t fastFailed = 0;
    double medianAloneMs = 0;
    double medianBesideMs = 0;
    double p95AloneMs = 0;
    double p95BesideMs = 0;
};

// Must be called before this process starts threads.
SlowReadersResult runSlowReaders(const SlowReadersOptions&, bool unbounded);

// Measures the memory that slow readers hold and the latency of fast callers beside them.
class SlowReadersBench final : public CommandLine::Command {
public:
    std::string name() const override { return "slow-readers"; }
    std::string argumentSynopsis() const override { return "[--readers N] [--seconds N] [--rate N] [--budget-mebibytes N] [--answer-kibibytes N] [--seed N]"; }
    std::string summary() const override { return "Memory held for slow readers and the latency of fast callers beside them; baseline unbounded buffers."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
