#include "Http/ForwardedHeaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Lavenderloft::Http {

namespace {

    constexpr std::array<std::string_view, 10> connectionHeaders {
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
    return std::none_of(connectionHeaders.begin(), connectionHeaders.end(), [&](std::string_view header) { return equalsIgnoringCase(header, name); });
}

} // namespace Lavenderloft::Http
