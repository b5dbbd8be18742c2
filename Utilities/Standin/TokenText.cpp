#include "Standin/TokenText.h"

#include "Standin/JsonResponse.h"

#include <limits>

namespace Lavenderloft::Standin {

namespace {

    constexpr size_t maximumIdentifierLength = 64;
    constexpr std::string_view blanks = " \t\r\n";

} // namespace

std::string tokenPrefix(const std::string& digest, const std::string& adapter)
{
    auto prefix = digest.substr(0, tokenDigestLength);
    return adapter.empty() ? prefix : prefix + '+' + adapter.substr(0, tokenDigestLength);
}

std::string formatToken(const TokenText& token)
{
    return token.digestPrefix + ' ' + token.identifier + ' ' + std::to_string(token.number) + '\n';
}

std::optional<TokenText> parseToken(std::string_view line)
{
    auto first = line.find(' ');
    auto last = line.rfind(' ');
    if (first == std::string_view::npos || last == first)
        return std::nullopt;
    auto number = parseNumber(line.substr(last + 1));
    if (!number || *number > std::numeric_limits<unsigned>::max())
        return std::nullopt;
    return TokenText { std::string(line.substr(0, first)), std::string(line.substr(first + 1, last - first - 1)), static_cast<unsigned>(*number) };
}

std::string promptIdentifier(std::string_view prompt)
{
    auto begin = prompt.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return "-";
    auto end = prompt.find_first_of(blanks, begin);
    return std::string(prompt.substr(begin, std::min(end - begin, maximumIdentifierLength)));
}

} // namespace Lavenderloft::Standin
