#pragma once

#include "CommandLine/Command.h"

#include <cstddef>
#include <cstdint>

namespace Lavenderloft::Bench {

struct ZoneLeaveOptions {
    // Undisturbed, with one data centre out, and after its return.
    int undisturbedSeconds = 6;
    int outSeconds = 6;
    int returnSeconds = 6;
    // Offered load in percent of the capacity of all three data centres.
    int loadPercent = 70;
    int seed = 1;
};

struct ZoneLeaveResult {
    size_t calls = 0;
    // Calls without a whole answer, and without an error that says 'not run'.
    size_t lostOrCut = 0;
    // Errors that say 'not run', by class.
    size_t refusedHazard = 0;
    size_t refusedInteractive = 0;
    size_t refusedSummary = 0;
    size_t doubled = 0;
    double hazardP95UndisturbedMs = 0;
    // From the order to leave until three seconds after the return, and the two parts of that time.
    double hazardP95DisturbedMs = 0;
    double hazardP95OutMs = 0;
    double hazardP95ReturnMs = 0;
    double interactiveP95UndisturbedMs = 0;
    double interactiveP95DisturbedMs = 0;
    // From the order of the operators to the last permit in the data centre that left.
    double newWorkEndsAfterMs = 0;
    // Permits in the data centre that left, from when all routers and agents knew to its return.
    uint64_t permitsWhileOut = 0;
    uint64_t permitsAfterReturn = 0;
};

ZoneLeaveResult runZoneLeave(const ZoneLeaveOptions&, bool roundRobin);

// Three data centres at 70% load, of which one leaves and returns.
class ZoneLeaveBench final : public CommandLine::Command {
public:
    std::string name() const override { return "zone-leave"; }
    std::string argumentSynopsis() const override { return "[--undisturbed-seconds N] [--out-seconds N] [--return-seconds N] [--load-percent N] [--seed N]"; }
    std::string summary() const override { return "Service while one of three data centres leaves and returns; baseline round robin."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
