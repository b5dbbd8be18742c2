#pragma once

#include "Bench/ChildProcess.h"
#include "Bench/RolloutFleet.h"

#include <map>

namespace Lavenderloft::Bench {

// Runs a part of a fleet in a child process at the commands of its parent, which are JSON objects, one a line. Each is
// answered by one line.
class RolloutWorker {
public:
    // The part lacks the address of the store, which the parent sends. The models are by digest.
    RolloutWorker(const FleetShape&, FleetPart, const std::map<std::string, Model>&);

    // Returns when the parent closes its end.
    void run(ParentLink&);

private:
    std::string respond(const std::string& line);

    const FleetShape& m_shape;
    FleetPart m_part;
    const std::map<std::string, Model>& m_models;
    std::unique_ptr<RolloutFleet> m_fleet;
};

} // namespace Lavenderloft::Bench
