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

// The life cycle of one transfer, a Boost.MSM state machine. Events that do not fit the phase change nothing.
class TransferLifeCycle {
public:
    TransferLifeCycle();
    ~TransferLifeCycle();
    TransferLifeCycle(TransferLifeCycle&&) noexcept;
    TransferLifeCycle& operator=(TransferLifeCycle&&) noexcept;

    TransferPhase phase() const;

    // Each returns whether the event led to another phase.
    bool acceptManifest();
    bool fail();
    bool complete();
    bool withdraw();

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Lavenderloft::Weights
