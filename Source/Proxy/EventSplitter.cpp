#include "Proxy/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace Lavenderloft::Proxy {

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

size_t EventSplitter::firstEventLength() const
{
    auto plain = m_pending.find("\n\n");
    auto carriage = m_pending.find("\r\n\r\n");
    size_t plainEnd = plain == std::string::npos ? 0 : plain + 2;
    size_t carriageEnd = carriage == std::string::npos ? 0 : carriage + 4;
    if (!plainEnd || !carriageEnd)
        return std::max(plainEnd, carriageEnd);
    return std::min(plainEnd, carriageEnd);
}

std::string EventSplitter::take(std::string_view bytes)
{
    m_pending.append(bytes);
    std::string events;
    while (auto length = firstEventLength()) {
        auto id = eventIdOf(std::string_view(m_pending).substr(0, length));
        bool isSkipped = id && m_skipThrough && *id <= *m_skipThrough;
        if (!isSkipped) {
            events.append(m_pending, 0, length);
            if (id)
                m_lastEventId = id;
        }
        m_pending.erase(0, length);
    }
    return events;
}

} // namespace Lavenderloft::Proxy
