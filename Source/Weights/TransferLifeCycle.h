#pragma once

#include <memory>

namespace Lavenderloft::Weights {

enum class TransferPhase {
    FetchingManifest,
    FetchingChunks,
    // Every chunk is held and verified.
    Complete,
    // The manifest cannot be used: it is malformed or larger than the memory budget.
    Failed,
    // The version was withdrawn or replaced.
    Stopped,
};

// State machine of one transfer, built with Boost.MSM. Events that are invalid in the current phase are ignored.
class TransferLifeCycle {
public:
    TransferLifeCycle();
    ~TransferLifeCycle();
    TransferLifeCycle(TransferLifeCycle&&) noexcept;
    TransferLifeCycle& operator=(TransferLifeCycle&&) noexcept;

    TransferPhase phase() const;

    // Each returns whether the event caused a transition.
    bool acceptManifest();
    bool fail();
    bool complete();
    bool withdraw();

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Lavenderloft::Weights
