#pragma once

#include <memory>

namespace Lavenderloft::Staging {

enum class LoadPhase {
    // No load request is outstanding.
    Settled,
    // A load request was sent; whether the engine has accepted it, or still will, is not known.
    Requested,
    // The engine has accepted a load request, too long after the pieces were verified to rely on that verification. Its
    // reports will show whether it was this one.
    Unverified,
};

// State machine of one load request, built with Boost.MSM. Events that are invalid in the current phase are ignored.
class LoadLifeCycle {
public:
    LoadLifeCycle();
    ~LoadLifeCycle();
    LoadLifeCycle(LoadLifeCycle&&) noexcept;
    LoadLifeCycle& operator=(LoadLifeCycle&&) noexcept;

    LoadPhase phase() const;

    // Each returns whether the event caused a transition.
    bool request();
    bool accept();
    bool settle();

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Lavenderloft::Staging
