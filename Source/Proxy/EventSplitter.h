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
    // Drops events up to and including this one, when a stream is resumed at another target.
    void skipThrough(std::optional<uint64_t> eventId) { m_skipThrough = eventId; }

    // Appends the bytes and returns all events that are now complete.
    std::string take(std::string_view bytes);

    // Bytes after the last complete event.
    const std::string& remainder() const { return m_pending; }

    // Whether the stream stopped inside an event. Line breaks after the last event belong to no event.
    bool hasIncompleteEvent() const { return m_pending.find_first_not_of("\r\n") != std::string::npos; }

    // Discards the incomplete event of a broken run.
    void reset() { m_pending.clear(); }

    // Id of the last event that was returned.
    std::optional<uint64_t> lastEventId() const { return m_lastEventId; }

private:
    // Length of the first complete event, including its blank line; zero if there is none.
    size_t firstEventLength() const;

    std::string m_pending;
    std::optional<uint64_t> m_lastEventId;
    std::optional<uint64_t> m_skipThrough;
};

// Value of the "id" field of one event.
std::optional<uint64_t> eventIdOf(std::string_view event);

} // namespace Lavenderloft::Proxy
