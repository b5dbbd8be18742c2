#pragma once

#include "Bench/RolloutLinks.h"
#include "Bench/RolloutModel.h"

#include <memory>
#include <set>

namespace Lavenderloft::Bench {

// A weight store behind the simulated link of the origin. The User-Agent header identifies the receiving VM.
class RolloutStore {
public:
    RolloutStore(std::shared_ptr<RolloutLinks>, const Base::Clock&);
    ~RolloutStore();

    void addModel(const Model&);

    // Responds to requests from these regions with status 503.
    void setPartitionedRegions(std::set<std::string>);

    // Inverts the first byte of the next `count` chunks that are sent.
    void corruptNextChunks(unsigned count);

    // "IP:PORT".
    std::string address() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Bench
