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

// Whether a response with the status to a request with the method may have a body. Of one that may not, the next byte would be
// taken for the next response.
bool mayHaveBody(std::string_view method, unsigned status);

// Adds a Content-Length header and the body, unless the response may not have one. The method is that of the request.
std::string serializeResponse(const HttpResponse&, bool keepAlive, std::string_view method = "GET");

// Serializes the status line and headers of a response with a chunked body, or of one that may not have a body.
std::string serializeStreamHead(unsigned status, const HttpHeaders&, bool keepAlive, std::string_view method = "GET");

// Serializes one chunk. Empty bytes would give the final chunk, which ends the body.
std::string serializeChunk(std::string_view bytes);

inline constexpr std::string_view finalChunk = "0\r\n\r\n";

} // namespace Lavenderloft::Http
