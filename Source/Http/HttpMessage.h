#pragma once

#include "Base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderloft::Http {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header with that name, ignoring case; empty if there is none.
std::string_view headerValue(const HttpHeaders&, std::string_view name);

// The name in lower case, in which names can be compared and hashed.
std::string lowerCaseName(std::string_view);

struct HttpRequest {
    std::string method = "GET";
    // Path and query.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse {
    unsigned status = 0;
    HttpHeaders headers;
    std::string body;
};

// IP address and port of a TCP server.
struct Endpoint {
    std::string host;
    uint16_t port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    bool operator==(const Endpoint&) const = default;
};

enum class EndpointErrorKind {
    Malformed,
};

using EndpointError = Base::Error<EndpointErrorKind>;

// Parses "IP:port"; host names are not resolved.
Base::Result<Endpoint, EndpointError> parseEndpoint(std::string_view);

} // namespace Lavenderloft::Http
