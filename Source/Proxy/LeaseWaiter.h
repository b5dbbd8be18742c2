#pragma once

#include "Dispatch/Decision.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace Lavenderloft::Proxy {

// Lets a coroutine wait for a lease that may be granted on another thread.
class LeaseWaiter final : public Dispatch::WaitObserver, public std::enable_shared_from_this<LeaseWaiter> {
public:
    using Outcome = std::variant<Dispatch::Lease, Dispatch::Refusal>;

    explicit LeaseWaiter(boost::asio::io_context&);

    void waitEnded(Outcome) override;

    // Returns after the given time, on an outcome or on cancel().
    boost::asio::awaitable<void> waitFor(Base::Duration);

    void cancel() { m_timer.cancel(); }

    // Nobody waits any more: passes a lease that was granted, or is granted from now on, to the function.
    void discard(std::function<void(const Dispatch::Lease&)> returnLease);

    std::optional<Outcome>& outcome() { return m_outcome; }

private:
    void deliver(Outcome);

    boost::asio::io_context& m_context;
    boost::asio::steady_timer m_timer;
    std::optional<Outcome> m_outcome;
    std::function<void(const Dispatch::Lease&)> m_returnLease;
};

} // namespace Lavenderloft::Proxy
