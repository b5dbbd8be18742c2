#include "Json/TextChecks.h"

#include "Base/Digest.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace Lavenderloft::Json {

namespace {

    bool isNameCharacter(char c)
    {
        bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        bool isDigit = c >= '0' && c <= '9';
        return isLetter || isDigit || c == '-' || c == '_' || c == '.';
    }

    bool isPort(std::string_view text, PortRule rule)
    {
        uint16_t port = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        bool isNumber = error == std::errc() && end == text.data() + text.size();
        return isNumber && (port || rule == PortRule::MayBeZero);
    }

    bool isIpAddress(int family, std::string_view text)
    {
        in6_addr buffer {};
        return inet_pton(family, std::string(text).c_str(), &buffer) == 1;
    }

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

void checkName(ProblemSink& problems, const std::string& pointer, const std::string& text)
{
    if (text.empty() || isName(text))
        return;
    problems.addProblem(ProblemKind::Malformed, pointer, "the value is not a valid name",
        "use 1 to " + std::to_string(maxNameLength) + " ASCII letters, digits, '-', '_' or '.'");
}

void checkDigest(ProblemSink& problems, const std::string& pointer, const std::string& text)
{
    if (text.empty() || Base::isDigest(text))
        return;
    problems.addProblem(ProblemKind::Malformed, pointer, "the value is not a digest",
        "use the SHA-256 of the manifest as " + std::to_string(Base::digestLength) + " lower-case hexadecimal digits");
}

bool isAddress(std::string_view text, PortRule rule)
{
    auto colon = text.rfind(':');
    // inet_pton would stop at an embedded zero byte and ignore the rest.
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos)
        return false;
    auto host = text.substr(0, colon);
    if (!isPort(text.substr(colon + 1), rule))
        return false;
    if (host.starts_with('[') && host.ends_with(']'))
        return isIpAddress(AF_INET6, host.substr(1, host.size() - 2));
    return isIpAddress(AF_INET, host);
}

bool isLoopbackAddress(std::string_view text)
{
    if (!isAddress(text, PortRule::MayBeZero))
        return false;
    auto host = text.substr(0, text.rfind(':'));
    if (!host.starts_with('['))
        return host.starts_with("127.");
    in6_addr address {};
    inet_pton(AF_INET6, std::string(host.substr(1, host.size() - 2)).c_str(), &address);
    return IN6_IS_ADDR_LOOPBACK(&address);
}

void checkAddress(ProblemSink& problems, const std::string& pointer, const std::string& text, PortRule rule)
{
    if (text.empty() || isAddress(text, rule))
        return;
    std::string minimumPort = rule == PortRule::MayBeZero ? "0" : "1";
    problems.addProblem(ProblemKind::Malformed, pointer, "the value is not an address", "use IPv4:port or [IPv6]:port with a port from " + minimumPort + " to 65535");
}

UniquenessCheck::UniquenessCheck(ProblemSink& problems, std::string itemKind)
    : m_problems(problems)
    , m_itemKind(std::move(itemKind))
{
}

void UniquenessCheck::add(const std::string& pointer, const std::string& text)
{
    if (text.empty() || m_seen.insert(text).second)
        return;
    auto message = "the " + m_itemKind + " occurs more than once";
    m_problems.addProblem(ProblemKind::DuplicateName, pointer, std::move(message), "remove it or give it another name");
}

} // namespace Lavenderloft::Json
