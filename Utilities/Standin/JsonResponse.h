#pragma once

#include "Http/HttpServer.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Standin {

// Request target split into path segments and query parameters.
struct RequestPath {
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;

    // Whether the path starts with these segments.
    bool startsWith(const std::vector<std::string>&) const;
    std::string segment(size_t index) const;
    std::optional<uint64_t> queryNumber(const std::string& name) const;
};

RequestPath parseRequestPath(std::string_view target);

std::optional<uint64_t> parseNumber(std::string_view);

// Parses a JSON object; returns nullopt for any other text.
std::optional<nlohmann::json> parseObject(std::string_view);

void respondJson(const std::shared_ptr<Http::ResponseStream>&, unsigned status, const nlohmann::json&);

// Sends an error body in the platform's format.
void respondError(const std::shared_ptr<Http::ResponseStream>&, unsigned status, const std::string& code, const std::string& message, const std::string& remedy);

void respondNotFound(const std::shared_ptr<Http::ResponseStream>&, const Http::HttpRequest&);

// Runs the function; if it throws nlohmann::json::exception, responds with status 400.
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
