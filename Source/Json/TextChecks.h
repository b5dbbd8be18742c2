#pragma once

#include "Json/ProblemSink.h"

#include <set>
#include <string>
#include <string_view>

// Checks of strings that several file formats share. They skip empty strings, which ObjectReader has already
// reported.
namespace Lavenderloft::Json {

// The maximum length of a DNS label.
inline constexpr size_t maxNameLength = 63;

// Whether the text is a valid name: 1 to maxNameLength ASCII letters, digits, '-', '_' or '.'.
bool isName(std::string_view text);

void checkName(ProblemSink&, const std::string& pointer, const std::string& text);

void checkDigest(ProblemSink&, const std::string& pointer, const std::string& text);

enum class PortRule {
    // Port 0 lets the operating system choose a free port.
    MayBeZero,
    MustBeNonZero,
};

// Whether the text is IPv4:port or [IPv6]:port.
bool isAddress(std::string_view text, PortRule);

// Whether the text is an address in 127.0.0.0/8 or ::1, with a port.
bool isLoopbackAddress(std::string_view text);

void checkAddress(ProblemSink&, const std::string& pointer, const std::string& text, PortRule);

// Reports strings that occur more than once among all those added.
class UniquenessCheck {
public:
    // `itemKind` names the strings in messages, for example "pool".
    UniquenessCheck(ProblemSink& problems, std::string itemKind);

    void add(const std::string& pointer, const std::string& text);

private:
    ProblemSink& m_problems;
    std::string m_itemKind;
    std::set<std::string> m_seen;
};

} // namespace Lavenderloft::Json
