#include "Staging/Queries/EstimateTransfer.h"

#include <algorithm>

namespace Lavenderloft::Staging::Queries {

namespace {

    constexpr double bitsPerByte = 8;
    // Work that may wait at the origin, so that its link is never idle.
    constexpr std::chrono::milliseconds originBacklog { 350 };
    // Time to pass a piece on to an agent of another region.
    constexpr std::chrono::milliseconds relayDelay { 200 };
    // Time until agents have learned of a declaration and have its manifest.
    constexpr std::chrono::milliseconds startDelay { 250 };

} // namespace

Base::Duration transferTime(uint64_t bytes, double bitsPerSecond)
{
    if (bitsPerSecond <= 0)
        return Base::Duration::zero();
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(static_cast<double>(bytes) * bitsPerByte / bitsPerSecond));
}

Base::Duration shortestDistribution(const DesiredWeights& desired, const Fleet::NodeSettings& settings)
{
    auto bytes = desired.pieceBytes * desired.pieces;
    return std::max(transferTime(bytes, desired.originBitsPerSecond), transferTime(bytes, settings.linkBitsPerSecond));
}

Base::TimePoint originTurn(const DesiredWeights& desired, unsigned piece, Base::TimePoint start)
{
    auto ahead = transferTime(desired.pieceBytes * piece, desired.originBitsPerSecond) - Base::Duration(originBacklog);
    return start + std::max(ahead, Base::Duration::zero());
}

Base::TimePoint expectedArrival(const DesiredWeights& desired, unsigned piece, Base::TimePoint start)
{
    return start + startDelay + transferTime(desired.pieceBytes * (piece + 1), desired.originBitsPerSecond);
}

Base::TimePoint expectedRelay(const DesiredWeights& desired, unsigned piece, Base::TimePoint start)
{
    return expectedArrival(desired, piece, start) + relayDelay;
}

} // namespace Lavenderloft::Staging::Queries
