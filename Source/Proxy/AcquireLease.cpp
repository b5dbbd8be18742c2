#include "Proxy/AcquireLease.h"

#include "Dispatch/Commands/AcquireTarget.h"
#include "Dispatch/Commands/RecordOutcome.h"
#include "Http/TaskFailures.h"

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

    // A request that may wait for a lease. If its coroutine ends by an exception, the request leaves the queue, and a lease
    // that it was granted meanwhile goes back.
    class PendingLease {
    public:
        PendingLease(std::shared_ptr<ProxyRequest> request, std::shared_ptr<LeaseWaiter> waiter)
            : m_request(std::move(request))
            , m_waiter(std::move(waiter))
        {
        }

        PendingLease(const PendingLease&) = delete;
        PendingLease& operator=(const PendingLease&) = delete;

        ~PendingLease()
        {
            if (!m_isSettled && !m_request->isLoopStopped())
                Http::guardTask("withdraw-request", [this] { withdraw(); });
        }

        // The caller has the outcome.
        void settle() { m_isSettled = true; }

    private:
        void withdraw()
        {
            m_waiter->discard([request = m_request](const Dispatch::Lease& lease) {
                Dispatch::Commands::releaseTarget(request->context.dispatch, request->traits.service, lease.target->entry.id, Dispatch::Commands::AttemptResult::Abandoned, request->now());
            });
            Dispatch::Commands::cancelWait(m_request->context.dispatch, m_request->traits, m_waiter.get(), m_request->now());
        }

        std::shared_ptr<ProxyRequest> m_request;
        std::shared_ptr<LeaseWaiter> m_waiter;
        bool m_isSettled = false;
    };

    asio::awaitable<std::optional<LeaseWaiter::Outcome>> awaitLease(std::shared_ptr<ProxyRequest> request, std::shared_ptr<LeaseWaiter> waiter)
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

} // namespace

asio::awaitable<std::optional<LeaseWaiter::Outcome>> acquireLease(std::shared_ptr<ProxyRequest> request, std::shared_ptr<LeaseWaiter> waiter)
{
    PendingLease pending(request, waiter);
    auto outcome = co_await awaitLease(request, waiter);
    pending.settle();
    co_return outcome;
}

} // namespace Lavenderloft::Proxy
