#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <atomic>
#include <cstdint>
#include <string>

// Streaming bounds the memory that answers take up while their readers are slow. State: ByteBudget.
namespace Lavenderloft::Streaming {

// Most that one stream may hold on one hop, in bytes.
inline constexpr uint64_t streamBufferBytes = 64 * 1024;

// A stream that waits for its reader.
struct BlockedStream {
    Base::TimePoint since;
    uint64_t bytes = 0;
};

// Bytes held for all streams together. Changed by Commands/ChargeStream, read by Queries/FindLongestBlocked.
class ByteBudget {
public:
    using Streams = Base::ShardedMap<std::string, BlockedStream>;

    explicit ByteBudget(uint64_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    uint64_t limitBytes() const { return m_limitBytes; }
    uint64_t heldBytes() const { return m_heldBytes; }
    uint64_t peakBytes() const { return m_peakBytes; }

    std::atomic<uint64_t>& held() { return m_heldBytes; }
    std::atomic<uint64_t>& peak() { return m_peakBytes; }
    // Streams that were aborted because the budget was spent.
    std::atomic<uint64_t>& cutStreams() { return m_cutStreams; }
    Streams& streams() { return m_streams; }
    const Streams& streams() const { return m_streams; }

private:
    const uint64_t m_limitBytes;
    std::atomic<uint64_t> m_heldBytes { 0 };
    std::atomic<uint64_t> m_peakBytes { 0 };
    std::atomic<uint64_t> m_cutStreams { 0 };
    Streams m_streams;
};

} // namespace Lavenderloft::Streaming
