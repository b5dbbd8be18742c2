#include "Http/ForwardedHeaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Lavenderloft::Http {

namespace {

    // Hop-by-hop headers, and Host and Content-Length, which are set anew for each forwarded message.
    constexpr std::array<std::string_view, 10> excludedHeaders {
        "connection", "content-length", "host", "keep-alive", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"
    };

    bool equalsIgnoringCase(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

} // namespace

bool isForwarded(std::string_view name)
{
    return std::none_of(excludedHeaders.begin(), excludedHeaders.end(), [&](std::string_view header) { return equalsIgnoringCase(header, name); });
}

} // namespace Lavenderloft::Http
