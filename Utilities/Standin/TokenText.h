#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Standin {

// Number of digits of a digest in each token.
inline constexpr size_t tokenDigestLength = 12;

// Last line of a complete response.
inline constexpr std::string_view endOfResponse = "[DONE]";

// Token of the engine stand-in, one line "PREFIX IDENTIFIER NUMBER".
struct TokenText {
    std::string digestPrefix;
    std::string identifier;
    unsigned number = 0;
};

// Prefix of the tokens of a response: the first digits of the digest of the weights and, if there is an adapter, a plus
// sign and the first digits of the adapter's digest.
std::string tokenPrefix(const std::string& digest, const std::string& adapter);

// Returns the line with its newline.
std::string formatToken(const TokenText&);

// Parses a line without its newline; returns nullopt if it is not a token.
std::optional<TokenText> parseToken(std::string_view line);

// Returns the first word of a prompt, truncated to 64 bytes, or "-" if the prompt is blank.
std::string promptIdentifier(std::string_view prompt);

} // namespace Lavenderloft::Standin
