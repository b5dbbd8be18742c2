#pragma once

#include "Http/HttpMessage.h"

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace Lavenderloft::Http {

// Copies the fields of a parsed message.
HttpHeaders copyHeaders(const boost::beast::http::fields&);

// Bytes of a request; a length is sent wherever the method may have a body.
std::string serializeRequest(const HttpRequest&);

// Bytes of a response with its length.
std::string serializeResponse(const HttpResponse&, bool keepAlive);

// Bytes of the head of a response whose body follows in chunks.
std::string serializeChunkedHead(unsigned status, const HttpHeaders&, bool keepAlive);

// Bytes of one chunk.
std::string serializeChunk(std::string_view bytes);

inline constexpr std::string_view finalChunk = "0\r\n\r\n";

} // namespace Lavenderloft::Http
