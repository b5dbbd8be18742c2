#pragma once

#include "Http/HttpServer.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Standin {

// A request target split into the parts of its path and its query.
struct RequestPath {
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;

    // Whether the path starts with the segments given.
    bool startsWith(const std::vector<std::string>&) const;
    std::string segment(size_t index) const;
    std::optional<uint64_t> queryNumber(const std::string& name) const;
};

RequestPath parseRequestPath(std::string_view target);

std::optional<uint64_t> parseNumber(std::string_view);

// Parses a JSON object; empty if the text is anything else.
std::optional<nlohmann::json> parseObject(std::string_view);

// Sends a whole JSON response.
void respondJson(const std::shared_ptr<Http::ResponseStream>&, unsigned status, const nlohmann::json&);

// Sends an error in the form that the platform uses.
void respondError(const std::shared_ptr<Http::ResponseStream>&, unsigned status, const std::string& code, const std::string& message, const std::string& remedy);

void respondNotFound(const std::shared_ptr<Http::ResponseStream>&, const Http::HttpRequest&);

// Runs the function; if a member of the JSON body has the wrong type, answers with status 400 instead.
template <typename Function>
void handleJsonErrors(const std::shared_ptr<Http::ResponseStream>& stream, Function&& function)
{
    try {
        function();
    } catch (const nlohmann::json::exception& error) {
        respondError(stream, 400, "malformed_body", error.what(), "see docs/standins.md for the members");
    }
}

// Sends an empty response with status 204.
void respondNoContent(const std::shared_ptr<Http::ResponseStream>&);

} // namespace Lavenderloft::Standin
