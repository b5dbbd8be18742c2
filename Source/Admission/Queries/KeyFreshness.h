#pragma once

#include "Admission/IdempotencyKeyTable.h"
#include "Admission/Refusal.h"

#include <optional>
#include <string>

namespace Lavenderloft::Admission::Queries {

// Timestamp of a UUID version 7. Returns std::nullopt for any other key.
std::optional<Base::WallTime> issueTime(const std::string& key);

// Checks that a key without a record has not been used before. Refuses with KeyNotVouched if it may have been.
std::optional<Refusal> checkKeyFreshness(const IdempotencyKeyTable&, const std::string& key, std::chrono::milliseconds resendWindow, const Base::Clock&);

} // namespace Lavenderloft::Admission::Queries
