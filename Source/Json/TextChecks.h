#pragma once

#include "Json/ProblemSink.h"

#include <set>
#include <string>
#include <string_view>

// Checks of texts that several kinds of file share. All of them pass over empty texts, which the reader
// has reported already.
namespace Lavenderloft::Json {

// Longest name, that of a DNS label.
inline constexpr size_t maxNameLength = 63;

// Whether the text is a name: ASCII letters, digits, '-', '_' and '.'.
bool isName(std::string_view text);

// Reports a text that is no name.
void checkName(ProblemSink&, const std::string& pointer, const std::string& text);

// Reports a text that is no digest.
void checkDigest(ProblemSink&, const std::string& pointer, const std::string& text);

enum class PortRule {
    // Port 0 lets the system choose a free port.
    MayBeZero,
    MustBeNonZero,
};

// Whether the text is IPv4:port or [IPv6]:port.
bool isAddress(std::string_view text, PortRule);

// Whether the text is an address of 127.0.0.0/8 or ::1, with a port.
bool isLoopbackAddress(std::string_view text);

// Reports a text that is no address.
void checkAddress(ProblemSink&, const std::string& pointer, const std::string& text, PortRule);

// Reports texts that occur twice in one list, or in several lists that share one set.
class UniquenessCheck {
public:
    // `what` names the texts in messages, such as "pool".
    UniquenessCheck(ProblemSink& problems, std::string what);

    void add(const std::string& pointer, const std::string& text);

private:
    ProblemSink& m_problems;
    std::string m_what;
    std::set<std::string> m_seen;
};

} // namespace Lavenderloft::Json
