#include "Routing/Commands/AdvanceStream.h"

#include <algorithm>

namespace Lavenderloft::Routing::Commands {

namespace {

    // An engine's answer ends with this line.
    constexpr std::string_view lastLine = "[DONE]";

    bool isLastLine(std::string_view line)
    {
        if (!line.ends_with('\n'))
            return false;
        line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
        return line == lastLine;
    }

    void appendToPartialLine(StreamPosition& position, std::string_view bytes)
    {
        // What follows shows that the line was a token after all.
        if (isLastLine(position.partialLine)) {
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
        if (isLastLine(position.partialLine))
            return;
        ++position.tokens;
        position.partialLine.clear();
        position.isPartialLineTooLong = false;
    }

} // namespace

void resumeStream(StreamPosition& position)
{
    position.bytesToRepeat = position.partialLine.size();
}

Base::Result<Base::Done, StreamError> advanceStream(StreamPosition& position, std::string& part)
{
    auto repeated = std::min(position.bytesToRepeat, part.size());
    auto expected = std::string_view(position.partialLine).substr(position.partialLine.size() - position.bytesToRepeat, repeated);
    if (std::string_view(part).substr(0, repeated) != expected)
        return StreamError { StreamErrorKind::Mismatch, "the resumed answer differs from what the caller has received", "send the request again" };
    position.bytesToRepeat -= repeated;
    part.erase(0, repeated);
    std::string_view rest = part;
    while (!rest.empty()) {
        auto lineEnd = rest.find('\n');
        bool isWhole = lineEnd != std::string_view::npos;
        auto length = isWhole ? lineEnd + 1 : rest.size();
        appendToPartialLine(position, rest.substr(0, length));
        if (isWhole)
            finishLine(position);
        rest.remove_prefix(length);
    }
    return Base::Done {};
}

} // namespace Lavenderloft::Routing::Commands
