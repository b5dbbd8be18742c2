#include "Http/WireFormat.h"

#include <boost/beast/http/status.hpp>
#include <charconv>

namespace Lavenderloft::Http {

namespace {

    void appendHeaders(std::string& bytes, const HttpHeaders& headers)
    {
        for (auto& header : headers) {
            bytes.append(header.name).append(": ").append(header.value).append("\r\n");
        }
    }

    void appendStatusLine(std::string& bytes, unsigned status)
    {
        auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
        bytes.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
        bytes.append(reason.data(), reason.size()).append("\r\n");
    }

    void appendConnection(std::string& bytes, bool keepAlive)
    {
        if (!keepAlive)
            bytes.append("Connection: close\r\n");
    }

} // namespace

HttpHeaders copyHeaders(const boost::beast::http::fields& fields)
{
    HttpHeaders headers;
    for (auto& field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

std::string serializeRequestHead(const HttpRequest& request, size_t bodyBytes)
{
    std::string bytes;
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendHeaders(bytes, request.headers);
    if (bodyBytes > 0 || (request.method != "GET" && request.method != "HEAD"))
        bytes.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    bytes.append("\r\n");
    return bytes;
}

std::string serializeRequest(const HttpRequest& request)
{
    return serializeRequestHead(request, request.body.size()).append(request.body);
}

bool mayHaveBody(std::string_view method, unsigned status)
{
    bool isAllowedByStatus = status >= 200 && status != 204 && status != 304;
    return isAllowedByStatus && method != "HEAD";
}

std::string serializeResponse(const HttpResponse& response, bool keepAlive, std::string_view method)
{
    std::string bytes;
    appendStatusLine(bytes, response.status);
    appendHeaders(bytes, response.headers);
    appendConnection(bytes, keepAlive);
    if (!mayHaveBody(method, response.status))
        return bytes.append("\r\n");
    bytes.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    bytes.append("\r\n").append(response.body);
    return bytes;
}

std::string serializeStreamHead(unsigned status, const HttpHeaders& headers, bool keepAlive, std::string_view method)
{
    std::string bytes;
    appendStatusLine(bytes, status);
    appendHeaders(bytes, headers);
    appendConnection(bytes, keepAlive);
    if (mayHaveBody(method, status))
        bytes.append("Transfer-Encoding: chunked\r\n");
    return bytes.append("\r\n");
}

std::string serializeChunk(std::string_view bytes)
{
    char size[16];
    auto end = std::to_chars(size, size + sizeof(size), bytes.size(), 16).ptr;
    std::string chunk;
    chunk.reserve(bytes.size() + 20);
    chunk.append(size, end).append("\r\n").append(bytes).append("\r\n");
    return chunk;
}

} // namespace Lavenderloft::Http
