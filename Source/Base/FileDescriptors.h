#pragma once

#include <cstddef>

namespace Lavenderloft::Base {

// Makes the descriptor table of the process large enough for so many descriptors, as far as the limit of the process allows.
// Must be called before the first thread starts: the kernel later blocks the threads that open a descriptor while the table
// grows, until an RCU grace period has passed.
void reserveFileDescriptors(size_t count);

// Number of descriptors that the process may have open. Assumes 1,024 if the system does not tell or sets no limit.
size_t fileDescriptorLimit();

} // namespace Lavenderloft::Base
