#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

// Streaming limits the memory that responses use while their readers are slow. State: ByteBudget.
namespace Lavenderloft::Streaming {

// Limit for the data of one stream on one hop.
inline constexpr uint64_t streamBufferBytes = 64 * 1024;

// A stream whose reader has not taken its data yet.
struct BlockedStream {
    Base::TimePoint since;
    uint64_t bytes = 0;
};

// A reader that takes no data for this time is slow. Other readers take a part within milliseconds, even while many
// parts are in flight.
inline constexpr std::chrono::milliseconds slowReaderTimeout { 250 };

// Memory of an open stream without blocked parts: the call with its read-ahead, the part in flight and the connection.
// 1,000 streams in "lavenderloft-bench slow-readers" whose responses fit into the kernel's buffers hold 32 KB each.
inline constexpr uint64_t openStreamBytes = 32 * 1024;

// FIFO queue of streams that wait for free bytes in the budget.
class WaitingStreams {
public:
    // Tries to continue; returns false if the stream is no longer waiting.
    using Retry = std::function<bool()>;

    void add(Retry retry)
    {
        std::lock_guard guard(m_lock);
        m_retries.push_back(std::move(retry));
    }

    // Removes and returns the oldest retry; empty if there is none.
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

// Memory budget of all streams together. Changed by Commands/ChargeStream, read by Queries/FindLongestBlocked.
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
    // Open streams may use half of the budget, so that there is always memory for parts of some of them.
    uint64_t openLimitBytes() const { return m_limitBytes / 2; }

    std::atomic<uint64_t>& held() { return m_heldBytes; }
    std::atomic<uint64_t>& peak() { return m_peakBytes; }
    // The held bytes of open streams without their parts.
    std::atomic<uint64_t>& open() { return m_openBytes; }
    // Number of streams that were aborted because the budget was exhausted.
    std::atomic<uint64_t>& abortedStreams() { return m_abortedStreams; }
    // Open streams with a waiting part, and streams that are not open yet.
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
