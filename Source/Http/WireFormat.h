#pragma once

#include "Http/HttpMessage.h"

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace Lavenderloft::Http {

HttpHeaders copyHeaders(const boost::beast::http::fields&);

// Serializes the request line and headers of a request whose body follows separately.
std::string serializeRequestHead(const HttpRequest&, size_t bodyBytes);

// Adds a Content-Length header if the body is not empty or the method is neither GET nor HEAD.
std::string serializeRequest(const HttpRequest&);

// Adds a Content-Length header unless the status allows no body.
std::string serializeResponse(const HttpResponse&, bool keepAlive);

// Serializes the status line and headers of a response with a chunked body.
std::string serializeChunkedHead(unsigned status, const HttpHeaders&, bool keepAlive);

// Serializes one chunk. Empty bytes would give the final chunk, which ends the body.
std::string serializeChunk(std::string_view bytes);

inline constexpr std::string_view finalChunk = "0\r\n\r\n";

} // namespace Lavenderloft::Http
