#include "Transport/GrpcThreads.h"

#include <absl/synchronization/mutex.h>

namespace Lavenderloft::Transport {

void disableMutexDeadlockDetection()
{
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

} // namespace Lavenderloft::Transport
