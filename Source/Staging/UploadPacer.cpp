#include "Staging/UploadPacer.h"

#include <algorithm>

namespace Lavenderloft::Staging {

UploadPacer::UploadPacer(double linkBitsPerSecond)
    : m_bytesPerSecond(linkBitsPerSecond * linkShare / 8)
{
}

std::optional<Base::Duration> UploadPacer::reserve(uint64_t bytes, Base::TimePoint now)
{
    if (m_bytesPerSecond <= 0)
        return Base::Duration::zero();
    auto start = std::max(m_freeAt, now);
    if (start - now > maximumWait)
        return std::nullopt;
    auto length = std::chrono::duration<double>(static_cast<double>(bytes) / m_bytesPerSecond);
    m_freeAt = start + std::chrono::duration_cast<Base::Duration>(length);
    return start - now;
}

} // namespace Lavenderloft::Staging
