#include "Proxy/AcquireLease.h"

#include "Dispatch/Commands/AcquireTarget.h"

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    // For an outcome that another thread has posted.
    constexpr std::chrono::seconds postedOutcomeWait = 1s;

    Dispatch::Decision requestLease(ProxyRequest& request, const std::shared_ptr<LeaseWaiter>& waiter)
    {
        auto& dispatch = request.context.dispatch;
        if (request.history.attempts == 0)
            return Dispatch::Commands::acquireTarget(dispatch, request.traits, waiter, request.now());
        return Dispatch::Commands::acquireForRetry(dispatch, request.traits, request.reachedTarget, waiter, request.now());
    }

} // namespace

asio::awaitable<std::optional<LeaseWaiter::Outcome>> acquireLease(std::shared_ptr<ProxyRequest> request, std::shared_ptr<LeaseWaiter> waiter)
{
    auto decision = requestLease(*request, waiter);
    if (auto* lease = std::get_if<Dispatch::Lease>(&decision))
        co_return std::move(*lease);
    if (auto* refusal = std::get_if<Dispatch::Refusal>(&decision))
        co_return *refusal;
    auto registration = request->disconnectMonitor->callOnDisconnect([waiter] { waiter->cancel(); });
    auto until = std::get<Dispatch::Queued>(decision).until;
    if (!request->callerDisconnected())
        co_await waiter->waitFor(until - request->now());
    if (!waiter->outcome()) {
        if (auto refusal = Dispatch::Commands::cancelWait(request->context.dispatch, request->traits, waiter.get(), request->now()))
            co_return *refusal;
        // The outcome has been posted by another thread but not yet delivered.
        while (!waiter->outcome())
            co_await waiter->waitFor(postedOutcomeWait);
    }
    co_return std::move(*waiter->outcome());
}

} // namespace Lavenderloft::Proxy
