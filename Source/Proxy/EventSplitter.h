#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Proxy {

// Splits an event stream (text/event-stream) into complete events, so that a caller never receives part of an event that
// another target would have to complete.
class EventSplitter {
public:
    // Longest event; it is held until its end has arrived.
    static constexpr size_t maximumEventBytes = 64 * 1024;

    // Prepares for the events of another run of the request. Discards the incomplete event of the previous run; events
    // that were returned before are dropped.
    void startRun();

    // Appends the bytes and returns all events that are now complete.
    std::string take(std::string_view bytes);

    // Bytes after the last complete event.
    const std::string& remainder() const { return m_pending; }

    // Whether the stream stopped inside an event. Line breaks after the last event belong to no event.
    bool hasIncompleteEvent() const { return m_pending.find_first_not_of("\r\n") != std::string::npos; }

    // Whether the incomplete event is longer than any that is forwarded.
    bool isEventTooLong() const { return m_pending.size() > maximumEventBytes; }

    // Whether the current run goes on at another event than the one that follows the last event of the previous run.
    bool isMisplaced() const { return m_isMisplaced; }

    // Whether another run can continue after the events returned so far. Events without ids can't be told apart.
    bool canContinue() const { return !m_hasDataWithoutId; }

    // Id of the last event that was returned.
    std::optional<uint64_t> lastEventId() const { return m_lastEventId; }

private:
    // Position behind the blank line that ends the event at the given position; zero if the event is incomplete.
    size_t findEventEnd(size_t start);

    bool isWrongContinuation(std::string_view event, const std::optional<uint64_t>& id) const;
    void recordReturned(std::string_view event, const std::optional<uint64_t>& id);

    std::string m_pending;
    // No event ends before this position.
    size_t m_searched = 0;
    std::optional<uint64_t> m_lastEventId;
    std::optional<uint64_t> m_skipThrough;
    // No event of the current run has been returned yet, while some of earlier runs have.
    bool m_isContinuing = false;
    bool m_isMisplaced = false;
    bool m_hasDataWithoutId = false;
    // How the ids so far follow each other.
    enum class Ids {
        Unknown,
        Consecutive,
        Rising,
    };
    Ids m_ids = Ids::Unknown;
};

// Value of the "id" field of one event.
std::optional<uint64_t> eventIdOf(std::string_view event);

} // namespace Lavenderloft::Proxy
