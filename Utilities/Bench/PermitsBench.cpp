#include "Bench/PermitsBench.h"

#include "Bench/PermitComparison.h"

#include <iostream>

namespace Lavenderloft::Bench {

namespace {

    constexpr unsigned permitsPerThread = 100000;

    double microseconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double, std::micro>(duration).count();
    }

} // namespace

CommandLine::ExitCode PermitsBench::run(const std::vector<std::string>& arguments)
{
    if (!arguments.empty()) {
        std::cerr << "lavenderloft-bench permits: unexpected argument \"" << arguments.front() << "\"; the command takes none\n";
        return CommandLine::ExitCode::Usage;
    }
    bool isWithinLimit = true;
    std::cout << "| routers | cold limit | peak with router-side limits | peak with permits |\n|---|---|---|---|\n";
    for (unsigned routers : { 7u, 890u }) {
        PermitScenario scenario;
        scenario.routers = routers;
        auto peak = peakWithPermits(scenario);
        isWithinLimit &= peak <= scenario.coldLimit;
        std::cout << "| " << routers << " | " << scenario.coldLimit << " | " << peakWithRouterLimits(scenario) << " | " << peak << " |\n";
    }
    for (unsigned threads : { 1u, 4u })
        std::cout << "grant, use and finish of a permit, " << threads << " thread(s): " << microseconds(permitCost(threads, permitsPerThread)) << " us\n";
    return isWithinLimit ? CommandLine::ExitCode::Success : CommandLine::ExitCode::Refused;
}

} // namespace Lavenderloft::Bench
