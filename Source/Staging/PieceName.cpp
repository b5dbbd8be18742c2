#include "Staging/PieceName.h"

#include <charconv>
#include <vector>

namespace Lavenderloft::Staging {

namespace {

    constexpr size_t pathParts = 4;

    std::vector<std::string_view> splitPath(std::string_view path)
    {
        std::vector<std::string_view> parts;
        while (true) {
            auto slash = path.find('/');
            parts.push_back(path.substr(0, slash));
            if (slash == std::string_view::npos)
                return parts;
            path.remove_prefix(slash + 1);
        }
    }

    template <typename Number>
    bool parseNumber(std::string_view text, Number& number)
    {
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        return error == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::string encodePiecePath(const PieceName& name)
{
    return std::string(piecePathPrefix) + name.region + "/" + name.model + "/" + std::to_string(name.version) + "/" + std::to_string(name.piece);
}

std::optional<PieceName> decodePiecePath(std::string_view path)
{
    if (!path.starts_with(piecePathPrefix))
        return std::nullopt;
    auto parts = splitPath(path.substr(piecePathPrefix.size()));
    PieceName name;
    if (parts.size() != pathParts || !parseNumber(parts[2], name.version) || !parseNumber(parts[3], name.piece))
        return std::nullopt;
    name.region = parts[0];
    name.model = parts[1];
    return name;
}

} // namespace Lavenderloft::Staging
