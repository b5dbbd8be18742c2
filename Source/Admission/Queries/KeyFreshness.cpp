#include "Admission/Queries/KeyFreshness.h"

#include <algorithm>

namespace Lavenderloft::Admission::Queries {

namespace {

    constexpr size_t uuidLength = 36;
    constexpr size_t versionPosition = 14;
    constexpr size_t variantPosition = 19;
    constexpr size_t timestampDigits = 12;

    bool isDashPosition(size_t position)
    {
        return position == 8 || position == 13 || position == 18 || position == 23;
    }

    bool isHexadecimal(char character)
    {
        return std::isxdigit(static_cast<unsigned char>(character));
    }

    bool isUuidVersion7(const std::string& key)
    {
        if (key.size() != uuidLength || key[versionPosition] != '7')
            return false;
        if (std::string_view("89abAB").find(key[variantPosition]) == std::string_view::npos)
            return false;
        for (size_t position = 0; position < key.size(); ++position) {
            if (isDashPosition(position) ? key[position] != '-' : !isHexadecimal(key[position]))
                return false;
        }
        return true;
    }

} // namespace

std::optional<Base::WallTime> issueTime(const std::string& key)
{
    if (!isUuidVersion7(key))
        return std::nullopt;
    std::string digits = key.substr(0, timestampDigits + 1);
    std::erase(digits, '-');
    return Base::WallTime(std::chrono::milliseconds(std::stoull(digits, nullptr, 16)));
}

std::optional<Refusal> checkKeyFreshness(const IdempotencyKeyTable& table, const std::string& key, std::chrono::milliseconds resendWindow, const Base::Clock& clock)
{
    auto horizon = table.horizon();
    auto issued = issueTime(key);
    if (issued && *issued > clock.wallTime() + clockSkewBound)
        return makeRefusal(RefusalReason::KeyNotVouched, "the idempotency key has a timestamp in the future", "correct the caller's clock and use a new key");
    if (issued && *issued > horizon.wallTime + clockSkewBound)
        return std::nullopt;
    if (clock.now() - horizon.time > resendWindow)
        return std::nullopt;
    return makeRefusal(RefusalReason::KeyNotVouched, "a call with this idempotency key may have run before the agent's records begin", "check whether the earlier call took effect, or use a new UUID version 7 for a new call");
}

} // namespace Lavenderloft::Admission::Queries
