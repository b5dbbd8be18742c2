#include "Routing/ResponseForwarder.h"

#include "Routing/RequestCoordinator.h"
#include "Streaming/Commands/ChargeStream.h"
#include "Streaming/Queries/FindLongestBlocked.h"

namespace Lavenderloft::Routing {

ResponseForwarder::ResponseForwarder(std::shared_ptr<RoutingContext> context, std::string requestId, std::shared_ptr<ResponseWriter> writer)
    : m_contextOwner(std::move(context))
    , m_context(*m_contextOwner)
    , m_requestId(std::move(requestId))
    , m_writer(std::move(writer))
{
}

void ResponseForwarder::open(std::function<void()> opened)
{
    if (!chargeBudget([&] { return Base::succeeded(Streaming::Commands::openStream(m_context.byteBudget)); }))
        return waitToOpen(std::move(opened));
    if (markOpen())
        return opened();
    Streaming::Commands::closeStream(m_context.byteBudget);
}

bool ResponseForwarder::markOpen()
{
    std::lock_guard guard(m_lock);
    m_isOpen = !m_isClosed;
    return m_isOpen;
}

void ResponseForwarder::waitToOpen(std::function<void()> opened)
{
    {
        std::lock_guard guard(m_lock);
        if (m_isClosed)
            return;
        m_waitingOpen = std::move(opened);
        if (std::exchange(m_isOpenQueued, true))
            return;
    }
    m_context.metrics.count("streams_waiting_for_budget_total");
    m_context.byteBudget.waitingToOpen().add([weak = weak_from_this()] {
        auto self = weak.lock();
        return self && self->clearQueued(self->m_isOpenQueued) && self->retryOpen();
    });
}

bool ResponseForwarder::clearQueued(bool& isQueued)
{
    std::lock_guard guard(m_lock);
    return std::exchange(isQueued, false);
}

bool ResponseForwarder::retryOpen()
{
    std::function<void()> opened;
    {
        std::lock_guard guard(m_lock);
        opened = std::exchange(m_waitingOpen, nullptr);
    }
    if (!opened)
        return false;
    open(std::move(opened));
    return true;
}

void ResponseForwarder::forward(std::string bytes, std::function<void()> resume)
{
    auto charge = [&] {
        auto held = bytes.size() + blockedStreamBytes - Streaming::openStreamBytes;
        return Base::succeeded(Streaming::Commands::chargeStream(m_context.byteBudget, m_requestId, held, m_context.clock.now()));
    };
    if (!chargeBudget(charge))
        return waitForBudget({ std::move(bytes), std::move(resume) });
    m_writer->data(std::move(bytes), [self = shared_from_this(), resume = std::move(resume)](bool ok) { self->written(ok, resume); });
}

void ResponseForwarder::written(bool ok, const std::function<void()>& resume)
{
    Streaming::Commands::releaseStream(m_context.byteBudget, m_requestId);
    auto request = ok ? std::nullopt : m_context.running.find(m_requestId);
    if (request)
        (*request)->callerDisconnected();
    resume();
    Streaming::Commands::resumeWaitingStream(m_context.byteBudget);
}

bool ResponseForwarder::chargeBudget(const std::function<bool()>& charge)
{
    auto& budget = m_context.byteBudget;
    auto now = m_context.clock.now();
    while (!charge()) {
        auto longest = Streaming::Queries::findLongestBlocked(budget, now - Streaming::slowReaderTimeout);
        if (!longest)
            return false;
        if (auto blocked = m_context.running.find(*longest))
            (*blocked)->abortSlowReader();
        Streaming::Commands::releaseStream(budget, *longest);
    }
    return true;
}

void ResponseForwarder::waitForBudget(Part part)
{
    {
        std::lock_guard guard(m_lock);
        if (m_isClosed)
            return;
        m_waitingPart = std::move(part);
        if (std::exchange(m_isPartQueued, true))
            return;
    }
    m_context.metrics.count("parts_waiting_for_budget_total");
    m_context.byteBudget.waiting().add([weak = weak_from_this()] {
        auto self = weak.lock();
        return self && self->clearQueued(self->m_isPartQueued) && self->retryWaitingPart();
    });
}

bool ResponseForwarder::retryWaitingPart()
{
    std::optional<Part> part;
    {
        std::lock_guard guard(m_lock);
        part = std::exchange(m_waitingPart, std::nullopt);
    }
    if (!part)
        return false;
    forward(std::move(part->bytes), std::move(part->resume));
    return true;
}

void ResponseForwarder::retry()
{
    retryWaitingPart();
    retryOpen();
}

void ResponseForwarder::close()
{
    bool wasOpen = false;
    {
        std::lock_guard guard(m_lock);
        m_isClosed = true;
        m_waitingPart.reset();
        m_waitingOpen = nullptr;
        wasOpen = std::exchange(m_isOpen, false);
    }
    if (wasOpen)
        Streaming::Commands::closeStream(m_context.byteBudget);
    Streaming::Commands::releaseStream(m_context.byteBudget, m_requestId);
}

} // namespace Lavenderloft::Routing
