#include "Bench/BoundsCommand.h"

#include <fstream>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>

namespace Lavenderloft::Bench {

namespace {

    nlohmann::json readJson(const std::string& path)
    {
        std::ifstream input(path);
        if (!input)
            throw std::runtime_error("cannot open " + path);
        return nlohmann::json::parse(input);
    }

    // Prints the comparison and returns whether the value is within its bound.
    bool checkBound(const nlohmann::json& bound, const nlohmann::json& report)
    {
        auto value = report.at(nlohmann::json::json_pointer(bound.at("pointer").get<std::string>())).get<double>();
        auto maximum = bound.value("max", std::numeric_limits<double>::infinity());
        auto minimum = bound.value("min", -std::numeric_limits<double>::infinity());
        bool isWithin = value <= maximum && value >= minimum;
        std::cout << (isWithin ? "within  " : "MISSED  ") << report.at("benchmark").get<std::string>() << ' ' << bound.at("pointer").get<std::string>()
                  << " = " << value << " (" << (bound.contains("max") ? "at most " : "at least ") << (bound.contains("max") ? maximum : minimum) << ")\n";
        return isWithin;
    }

} // namespace

CommandLine::ExitCode BoundsCommand::run(const std::vector<std::string>& arguments)
{
    if (arguments.size() < 2) {
        std::cerr << "usage: lavenderloft-bench bounds BOUNDS REPORT...\n";
        return CommandLine::ExitCode::Usage;
    }
    try {
        auto bounds = readJson(arguments[0]);
        size_t compared = 0;
        bool allWithin = true;
        for (size_t i = 1; i < arguments.size(); ++i) {
            auto report = readJson(arguments[i]);
            for (auto& bound : bounds) {
                if (bound.at("benchmark") != report.at("benchmark"))
                    continue;
                ++compared;
                allWithin = checkBound(bound, report) && allWithin;
            }
        }
        if (!compared)
            throw std::runtime_error("no bound in " + arguments[0] + " names the benchmark of a given report");
        return allWithin ? CommandLine::ExitCode::Success : CommandLine::ExitCode::Refused;
    } catch (const std::exception& error) {
        std::cerr << "lavenderloft-bench bounds: " << error.what() << '\n';
        return CommandLine::ExitCode::Refused;
    }
}

} // namespace Lavenderloft::Bench
