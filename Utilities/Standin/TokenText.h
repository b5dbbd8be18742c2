#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Standin {

// Digits of the digest that each token carries.
inline constexpr size_t tokenDigestLength = 12;

// The last line of an answer.
inline constexpr std::string_view endOfResponse = "[DONE]";

// A token of an engine stand-in; one line "DIGEST IDENTIFIER NUMBER".
struct TokenText {
    std::string digestPrefix;
    std::string identifier;
    unsigned number = 0;
};

// What tokens of an answer start with: the first digits of the digest of the weights and, after a plus
// sign, those of the adapter, if there is one.
std::string tokenPrefix(const std::string& digest, const std::string& adapter);

// The line with its newline.
std::string formatToken(const TokenText&);

// Reads a line without its newline; empty if it is no token.
std::optional<TokenText> parseToken(std::string_view line);

// The first word of a prompt, cut to a bounded length, or "-" if there is none.
std::string promptIdentifier(std::string_view prompt);

} // namespace Lavenderloft::Standin
