#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Proxy {

// Splits the bytes of an event stream (text/event-stream) into whole events, so that a caller never gets a
// part of an event that another target would have to finish.
class EventSplitter {
public:
    // Events up to and including this one are left out; for a stream that goes on at another target.
    void skipThrough(std::optional<uint64_t> eventId) { m_skipThrough = eventId; }

    // Takes bytes and returns those of all events that are whole now.
    std::string take(std::string_view bytes);

    // Bytes after the last whole event.
    const std::string& remainder() const { return m_pending; }

    // Drops what is left of a broken run.
    void reset() { m_pending.clear(); }

    // Id of the last whole event that was returned.
    std::optional<uint64_t> lastEventId() const { return m_lastEventId; }

private:
    // Length of the first whole event with its blank line; zero if there is none.
    size_t firstEventLength() const;

    std::string m_pending;
    std::optional<uint64_t> m_lastEventId;
    std::optional<uint64_t> m_skipThrough;
};

// Value of the "id" field of one event.
std::optional<uint64_t> eventIdOf(std::string_view event);

} // namespace Lavenderloft::Proxy
