#include "Routing/Commands/AdvanceStream.h"

#include <algorithm>

namespace Lavenderloft::Routing::Commands {

namespace {

    // Last line of an engine's response.
    constexpr std::string_view endMarker = "[DONE]";

    bool isEndMarker(std::string_view line)
    {
        if (!line.ends_with('\n'))
            return false;
        line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
        return line == endMarker;
    }

    void appendToPartialLine(StreamPosition& position, std::string_view bytes)
    {
        // More data follows, so the line was an ordinary token.
        if (isEndMarker(position.partialLine)) {
            ++position.tokens;
            position.partialLine.clear();
        }
        if (position.partialLine.size() + bytes.size() > StreamPosition::maximumPartialBytes) {
            position.isPartialLineTooLong = true;
            position.partialLine.clear();
        }
        if (!position.isPartialLineTooLong)
            position.partialLine += bytes;
    }

    void finishLine(StreamPosition& position)
    {
        if (isEndMarker(position.partialLine))
            return;
        ++position.tokens;
        position.partialLine.clear();
        position.isPartialLineTooLong = false;
    }

} // namespace

void resumeStream(StreamPosition& position)
{
    position.overlapBytes = position.partialLine.size();
}

Base::Result<Base::Done, StreamError> advanceStream(StreamPosition& position, std::string& part)
{
    auto repeated = std::min(position.overlapBytes, part.size());
    auto expected = std::string_view(position.partialLine).substr(position.partialLine.size() - position.overlapBytes, repeated);
    if (std::string_view(part).substr(0, repeated) != expected)
        return StreamError { StreamErrorKind::Mismatch, "the resumed response differs from the part already sent to the caller", "send the request again" };
    position.overlapBytes -= repeated;
    part.erase(0, repeated);
    std::string_view rest = part;
    while (!rest.empty()) {
        auto lineEnd = rest.find('\n');
        bool hasEnd = lineEnd != std::string_view::npos;
        auto length = hasEnd ? lineEnd + 1 : rest.size();
        appendToPartialLine(position, rest.substr(0, length));
        if (hasEnd)
            finishLine(position);
        rest.remove_prefix(length);
    }
    return Base::Done {};
}

} // namespace Lavenderloft::Routing::Commands
