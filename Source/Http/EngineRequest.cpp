#include "Http/EngineRequest.h"

#include "Json/BoundedParser.h"

#include <charconv>
#include <limits>
#include <strings.h>

namespace Lavenderloft::Http {

namespace {

    constexpr auto resumeFromHeader = "X-Resume-From";
    constexpr auto resumedFromHeader = "X-Resumed-From";
    // A body is written anew by recursion. Its values are limited by its size.
    constexpr Json::DocumentLimits bodyLimits { 256, std::numeric_limits<size_t>::max() };

} // namespace

std::string withPriority(const std::string& body, DesiredState::PriorityClass priorityClass)
{
    auto document = Json::parseBounded(body, bodyLimits);
    if (!Base::succeeded(document) || !Base::valueOf(document).is_object())
        return body;
    auto object = Base::takeValue(std::move(document));
    object["priority"] = DesiredState::priorityClassCount - 1 - static_cast<size_t>(priorityClass);
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void setResumeFrom(HttpHeaders& headers, uint64_t token)
{
    std::erase_if(headers, [](auto& header) { return !strcasecmp(header.name.c_str(), resumeFromHeader); });
    if (token)
        headers.push_back({ resumeFromHeader, std::to_string(token) });
}

uint64_t resumedFrom(const HttpHeaders& headers)
{
    auto text = headerValue(headers, resumedFromHeader);
    if (text.empty())
        return 0;
    uint64_t token = 0;
    auto end = text.data() + text.size();
    auto [rest, error] = std::from_chars(text.data(), end, token);
    return error == std::errc() && rest == end ? token : std::numeric_limits<uint64_t>::max();
}

} // namespace Lavenderloft::Http
