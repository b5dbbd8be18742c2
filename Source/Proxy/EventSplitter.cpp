#include "Proxy/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace Lavenderloft::Proxy {

namespace {

    // Comments and blank lines belong to no event.
    bool hasData(std::string_view event)
    {
        constexpr std::string_view field = "data";
        return event.starts_with(field) || event.find("\ndata") != std::string_view::npos;
    }

} // namespace

std::optional<uint64_t> eventIdOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        uint64_t id = 0;
        auto [parsed, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc() && parsed == line.data() + line.size())
            return id;
    }
    return std::nullopt;
}

void EventSplitter::startRun()
{
    m_pending.clear();
    m_searched = 0;
    m_skipThrough = m_lastEventId;
    m_isContinuing = m_lastEventId.has_value();
}

// If the ids of a stream rise by one, a gap is recognised. Otherwise only the order is known.
bool EventSplitter::isWrongContinuation(std::string_view event, const std::optional<uint64_t>& id) const
{
    if (!m_isContinuing)
        return false;
    if (!id)
        return hasData(event);
    return m_ids == Ids::Consecutive && *id != *m_lastEventId + 1;
}

void EventSplitter::recordReturned(std::string_view event, const std::optional<uint64_t>& id)
{
    if (!id) {
        m_hasDataWithoutId = m_hasDataWithoutId || hasData(event);
        return;
    }
    if (m_lastEventId && m_ids != Ids::Rising)
        m_ids = *id == *m_lastEventId + 1 ? Ids::Consecutive : Ids::Rising;
    m_isContinuing = false;
    m_lastEventId = id;
}

size_t EventSplitter::findEventEnd(size_t start)
{
    std::string_view pending(m_pending);
    auto lineEnd = pending.find('\n', std::max(start, m_searched));
    while (lineEnd != std::string_view::npos) {
        auto next = pending.substr(lineEnd + 1);
        bool isCarriageReturn = lineEnd > start && pending[lineEnd - 1] == '\r';
        if (next.starts_with("\n"))
            return lineEnd + 2;
        if (isCarriageReturn && next.starts_with("\r\n"))
            return lineEnd + 3;
        // The rest of the blank line may not have arrived yet.
        if (next.empty() || next == "\r")
            break;
        lineEnd = pending.find('\n', lineEnd + 1);
    }
    m_searched = std::min(lineEnd, pending.size());
    return 0;
}

std::string EventSplitter::take(std::string_view bytes)
{
    m_pending.append(bytes);
    std::string events;
    size_t start = 0;
    while (auto end = findEventEnd(start)) {
        auto event = std::string_view(m_pending).substr(start, end - start);
        auto id = eventIdOf(event);
        bool isSkipped = id && m_skipThrough && *id <= *m_skipThrough;
        if (!isSkipped && isWrongContinuation(event, id)) {
            m_isMisplaced = true;
            break;
        }
        if (!isSkipped) {
            events.append(event);
            recordReturned(event, id);
        }
        start = end;
    }
    m_pending.erase(0, start);
    m_searched -= std::min(m_searched, start);
    return events;
}

} // namespace Lavenderloft::Proxy
