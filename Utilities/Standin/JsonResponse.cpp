#include "Standin/JsonResponse.h"

#include <charconv>

namespace Lavenderloft::Standin {

namespace {

    std::vector<std::string> split(std::string_view text, char separator)
    {
        std::vector<std::string> parts;
        while (!text.empty()) {
            auto end = std::min(text.find(separator), text.size());
            if (end > 0)
                parts.emplace_back(text.substr(0, end));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return parts;
    }

} // namespace

bool RequestPath::startsWith(const std::vector<std::string>& prefix) const
{
    return segments.size() >= prefix.size() && std::equal(prefix.begin(), prefix.end(), segments.begin());
}

std::string RequestPath::segment(size_t index) const
{
    return index < segments.size() ? segments[index] : std::string();
}

std::optional<uint64_t> RequestPath::queryNumber(const std::string& name) const
{
    auto entry = query.find(name);
    return entry == query.end() ? std::nullopt : parseNumber(entry->second);
}

RequestPath parseRequestPath(std::string_view target)
{
    RequestPath path;
    auto queryStart = target.find('?');
    path.segments = split(target.substr(0, queryStart), '/');
    if (queryStart == std::string_view::npos)
        return path;
    for (auto& pair : split(target.substr(queryStart + 1), '&')) {
        auto equals = pair.find('=');
        path.query[pair.substr(0, equals)] = equals == std::string::npos ? std::string() : pair.substr(equals + 1);
    }
    return path;
}

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<nlohmann::json> parseObject(std::string_view text)
{
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    return value;
}

void respondJson(const std::shared_ptr<Http::ResponseStream>& stream, unsigned status, const nlohmann::json& value)
{
    stream->respond({ status, { { "Content-Type", "application/json" } }, value.dump() });
}

void respondError(const std::shared_ptr<Http::ResponseStream>& stream, unsigned status, const std::string& code, const std::string& message, const std::string& remedy)
{
    respondJson(stream, status, { { "error", { { "code", code }, { "message", message }, { "remedy", remedy } } } });
}

void respondNotFound(const std::shared_ptr<Http::ResponseStream>& stream, const Http::HttpRequest& request)
{
    respondError(stream, 404, "not_found", "no handler for " + request.method + " " + request.target, "see docs/standins.md for the paths");
}

void respondNoContent(const std::shared_ptr<Http::ResponseStream>& stream)
{
    stream->respond({ 204, {}, {} });
}

} // namespace Lavenderloft::Standin
