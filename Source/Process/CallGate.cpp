#include "Process/CallGate.h"

namespace Lavenderloft::Process {

bool CallGate::wait(std::chrono::milliseconds duration)
{
    std::unique_lock guard(m_lock);
    m_condition.wait_for(guard, duration, [this] { return m_isClosed; });
    return !m_isClosed;
}

bool CallGate::beginCall()
{
    std::lock_guard guard(m_lock);
    if (m_isClosed)
        return false;
    ++m_callsInFlight;
    return true;
}

void CallGate::endCall()
{
    // Notifies under the lock, because the object may be destroyed as soon as the lock is released.
    std::lock_guard guard(m_lock);
    if (!--m_callsInFlight)
        m_condition.notify_all();
}

void CallGate::close()
{
    {
        std::lock_guard guard(m_lock);
        m_isClosed = true;
    }
    m_condition.notify_all();
}

void CallGate::waitForCalls()
{
    std::unique_lock guard(m_lock);
    m_condition.wait(guard, [this] { return !m_callsInFlight; });
}

} // namespace Lavenderloft::Process
