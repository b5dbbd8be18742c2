#pragma once

#include "CommandLine/Command.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Lavenderloft::Bench {

struct ZoneLeaveOptions {
    // Durations before one data centre leaves, while it is out, and after its return.
    int undisturbedSeconds = 6;
    int outSeconds = 6;
    int returnSeconds = 6;
    // Offered load as a percentage of the capacity of all three data centres.
    int loadPercent = 70;
    int seed = 1;
};

struct ZoneLeaveResult {
    size_t calls = 0;
    // Calls with neither a complete response nor an error whose outcome is "not_run".
    size_t lostOrCut = 0;
    // Errors whose outcome is "not_run", by priority class.
    size_t refusedHazard = 0;
    size_t refusedInteractive = 0;
    size_t refusedSummary = 0;
    // Refused and failed calls by class and error code, for example "hazard at_limit".
    std::map<std::string, size_t> errors;
    // Calls that were executed more than once.
    size_t doubled = 0;
    double hazardP95UndisturbedMs = 0;
    // From the change to "out" until three seconds after the return.
    double hazardP95DisturbedMs = 0;
    // Until the return, and from the return on.
    double hazardP95OutMs = 0;
    double hazardP95ReturnMs = 0;
    double interactiveP95UndisturbedMs = 0;
    double interactiveP95DisturbedMs = 0;
    // From the change to "out" until the last permit in the leaving data centre.
    double newWorkEndsAfterMs = 0;
    // Permits in the leaving data centre from when all routers and agents had the new document until its return.
    uint64_t permitsWhileOut = 0;
    uint64_t permitsAfterReturn = 0;
};

std::string toText(const ZoneLeaveResult&);

ZoneLeaveResult runZoneLeave(const ZoneLeaveOptions&, bool roundRobin);

// Measures the service of three data centres at 70% load by default, of which one is taken out and returns.
class ZoneLeaveBench final : public CommandLine::Command {
public:
    std::string name() const override { return "zone-leave"; }
    std::string argumentSynopsis() const override { return "[--undisturbed-seconds N] [--out-seconds N] [--return-seconds N] [--load-percent N] [--seed N]"; }
    std::string summary() const override { return "Service while one of three data centres leaves and returns; baseline round robin."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
