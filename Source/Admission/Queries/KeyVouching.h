#pragma once

#include "Admission/IdempotencyKeyTable.h"
#include "Admission/Refusal.h"

#include <optional>
#include <string>

namespace Lavenderloft::Admission::Queries {

// The time at which a UUID of version 7 was issued; nothing for any other key.
std::optional<Base::WallTime> issueTime(const std::string& key);

// The reason why a key without a record cannot be taken as first used now; nothing if it can.
std::optional<Refusal> findVouchingRefusal(const IdempotencyKeyTable&, const std::string& key, std::chrono::milliseconds resendWindow, const Base::Clock&);

} // namespace Lavenderloft::Admission::Queries
