#include "Standin/StopSignal.h"

namespace Lavenderloft::Standin {

StopSignal::StopSignal()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

void StopSignal::wait()
{
    int signal = 0;
    sigwait(&m_signals, &signal);
}

bool StopSignal::waitFor(std::chrono::milliseconds time)
{
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    timespec limit { seconds.count(), std::chrono::nanoseconds(time - seconds).count() };
    return sigtimedwait(&m_signals, nullptr, &limit) > 0;
}

} // namespace Lavenderloft::Standin
