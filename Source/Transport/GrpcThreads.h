#pragma once

namespace Lavenderloft::Transport {

// Disables Abseil's mutex deadlock detection in this process. Must be called before the first use of gRPC. Debian
// builds Abseil with the detection enabled; it takes a process-wide lock for every lock and unlock, on which the
// threads of gRPC contend.
void disableMutexDeadlockDetection();

} // namespace Lavenderloft::Transport
