#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <optional>

namespace Lavenderloft::Scheduling {

// Limits the slots of an engine that a router may reuse after it released them, while more urgent requests wait at other
// routers. Set by the agent of the engine.
struct ReuseLimit {
    // More urgent requests than this are not limited.
    int urgency = 0;
    // For all other requests together.
    double requestsPerSecond = 0;
};

// Token bucket of a router for one engine under a ReuseLimit. Answers twenty less urgent requests at one router, which keep
// the slots of an engine by always having a request for a slot that becomes free, and three urgent ones at another router.
class ReuseAllowance {
public:
    // Agents report to the routers of other regions in rotation, and a router that misses a few reports must not keep a limit
    // that nobody needs any more.
    static constexpr std::chrono::milliseconds limitLifetime { 400 };

    // A limit that follows another one keeps its tokens. The first one starts without any, because the slots are needed now.
    void setLimit(const std::optional<ReuseLimit>&, Base::TimePoint now);

    bool isLimited(Base::TimePoint now) const { return m_limit && now - m_setAt < limitLifetime; }

    // Whether a request of the urgency may reuse a released slot.
    bool allows(int urgency, Base::TimePoint now) const;

    // Records that a request of the urgency starts, on a released slot or by a grant.
    void recordStart(int urgency, Base::TimePoint now);

private:
    double tokensAt(Base::TimePoint now) const;

    std::optional<ReuseLimit> m_limit;
    Base::TimePoint m_setAt {};
    double m_tokens = 0;
    Base::TimePoint m_refilledAt {};
};

} // namespace Lavenderloft::Scheduling
