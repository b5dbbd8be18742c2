#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
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

// A reader that takes nothing for this long is slow. Readers that keep up take a part within milliseconds,
// also when many parts are under way at once.
inline constexpr std::chrono::milliseconds slowReaderTimeout { 250 };

// What an open stream holds while no part of it is blocked: the call with its read-ahead, the part under way
// and the connection. In lavenderloft-bench slow-readers 1,000 streams whose answers fit into the kernel's
// buffers held 32 KB each.
inline constexpr uint64_t openStreamBytes = 32 * 1024;

// Streams that wait for room in the budget, in the order of their arrival.
class WaitingStreams {
public:
    // Tries to go on; returns false if the stream is no longer waiting.
    using Retry = std::function<bool()>;

    void add(Retry retry)
    {
        std::lock_guard guard(m_lock);
        m_retries.push_back(std::move(retry));
    }

    // The retry that has waited longest; empty if there is none.
    Retry takeFirst()
    {
        std::lock_guard guard(m_lock);
        if (m_retries.empty())
            return {};
        auto retry = std::move(m_retries.front());
        m_retries.pop_front();
        return retry;
    }

private:
    std::mutex m_lock;
    std::deque<Retry> m_retries;
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
    // Open streams may hold half of the budget, so that there is always room for parts of some of them.
    uint64_t openLimitBytes() const { return m_limitBytes / 2; }

    std::atomic<uint64_t>& held() { return m_heldBytes; }
    std::atomic<uint64_t>& peak() { return m_peakBytes; }
    // Of the held bytes, those of open streams without their parts.
    std::atomic<uint64_t>& open() { return m_openBytes; }
    // Streams that were aborted because the budget was spent.
    std::atomic<uint64_t>& abortedStreams() { return m_abortedStreams; }
    // Streams with a part that waits, and streams that wait to be opened.
    WaitingStreams& waiting() { return m_waiting; }
    WaitingStreams& waitingToOpen() { return m_waitingToOpen; }
    Streams& streams() { return m_streams; }
    const Streams& streams() const { return m_streams; }

private:
    const uint64_t m_limitBytes;
    std::atomic<uint64_t> m_heldBytes { 0 };
    std::atomic<uint64_t> m_peakBytes { 0 };
    std::atomic<uint64_t> m_openBytes { 0 };
    std::atomic<uint64_t> m_abortedStreams { 0 };
    WaitingStreams m_waiting;
    WaitingStreams m_waitingToOpen;
    Streams m_streams;
};

} // namespace Lavenderloft::Streaming
