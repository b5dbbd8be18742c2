#pragma once

#include "Bench/RolloutLinks.h"
#include "Bench/RolloutModel.h"

#include <memory>
#include <set>

namespace Lavenderloft::Bench {

// A weight store behind the origin's link. Receivers are known by their User-Agent header.
class RolloutStore {
public:
    RolloutStore(std::shared_ptr<RolloutLinks>, const Base::Clock&);
    ~RolloutStore();

    void addModel(const Model&);

    // Requests from these regions get no answer but an error.
    void setPartitionedRegions(std::set<std::string>);

    // Damages the first byte of the next chunks that are sent.
    void corruptNextChunks(unsigned count);

    // IP:port.
    std::string address() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Bench
