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
    int responseKibibytes = 1024;
    int seed = 1;
};

// Results of one run, with back pressure and a byte budget or with unbounded buffers.
struct SlowReadersResult {
    uint64_t budgetBytes = 0;
    uint64_t peakHeldBytes = 0;
    uint64_t residentBytesBefore = 0;
    // One second after all readers started.
    uint64_t residentBytesBurst = 0;
    // At the end of the phase with slow readers.
    uint64_t residentBytesSettled = 0;
    // Peak until the end of that phase.
    uint64_t residentBytesPeak = 0;
    unsigned readers = 0;
    // Streams that the router aborted because their reader was slow.
    unsigned readersCut = 0;
    // Responses that ended without the last chunk of the chunked encoding.
    unsigned answersCut = 0;
    // Responses that ended with the last chunk.
    unsigned answersWhole = 0;
    size_t fastCalls = 0;
    size_t fastFailed = 0;
    // Latency of the fast calls without slow readers ("alone") and with them ("beside").
    double medianAloneMs = 0;
    double medianBesideMs = 0;
    double p95AloneMs = 0;
    double p95BesideMs = 0;
};

// Must be called before this process starts threads.
std::string toText(const SlowReadersResult&);

SlowReadersResult runSlowReaders(const SlowReadersOptions&, bool unbounded);

// Measures the memory held for slow readers and the latency of concurrent fast calls.
class SlowReadersBench final : public CommandLine::Command {
public:
    std::string name() const override { return "slow-readers"; }
    std::string argumentSynopsis() const override { return "[--readers N] [--seconds N] [--rate N] [--budget-mebibytes N] [--answer-kibibytes N] [--seed N]"; }
    std::string summary() const override { return "Memory held for slow readers and the latency of concurrent fast calls; baseline unbounded buffers."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
