#include "Admission/IdempotencyKeyTable.h"

namespace Lavenderloft::Admission {

std::string keyName(const std::string& organisation, const std::string& key)
{
    // The separator keeps ("ab", "c") and ("a", "bc") apart. Header values contain no zero byte.
    return organisation + '\0' + key;
}

} // namespace Lavenderloft::Admission
