#pragma once

namespace Lavenderloft::Transport {

// Turns off the search for deadlocks in the mutexes that gRPC uses, for the whole process. To be called before the first
// use of gRPC. Debian builds the library with this search on; it takes one lock of the whole process for each lock
// and unlock, so that the threads of gRPC wait for each other.
void disableMutexDeadlockDetection();

} // namespace Lavenderloft::Transport
