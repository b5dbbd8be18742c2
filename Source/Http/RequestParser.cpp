#include "Http/RequestParser.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace Lavenderloft::Http {

namespace http = boost::beast::http;

namespace {

    // The shortest form of what stands around the method and target, and around the name and value of a field.
    constexpr size_t requestLineBytes = 12;
    constexpr size_t fieldSeparatorBytes = 3;
    // Memory is taken at once for announced bodies up to this size. Larger ones take it as they arrive.
    constexpr uint64_t maximumReservedBytes = 4 * 1024 * 1024;

} // namespace

RequestParser::RequestParser(const RequestLimits& limits)
    : m_maximumHeadBytes(limits.headBytes)
{
    header_limit(static_cast<uint32_t>(std::min<size_t>(limits.headBytes, std::numeric_limits<uint32_t>::max())));
    body_limit(limits.bodyBytes);
}

bool RequestParser::countHeadBytes(size_t bytes, ErrorCode& error)
{
    m_headBytes += bytes;
    if (m_headBytes > m_maximumHeadBytes)
        error = http::error::header_limit;
    return !error;
}

void RequestParser::on_request_impl(http::verb, StringView method, StringView target, int, ErrorCode& error)
{
    if (!countHeadBytes(method.size() + target.size() + requestLineBytes, error))
        return;
    m_request.method.assign(method.data(), method.size());
    m_request.target.assign(target.data(), target.size());
}

void RequestParser::on_field_impl(http::field, StringView name, StringView value, ErrorCode& error)
{
    if (m_isHeadComplete || !countHeadBytes(name.size() + value.size() + fieldSeparatorBytes, error))
        return;
    m_request.headers.push_back({ std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
}

void RequestParser::on_header_impl(ErrorCode&)
{
    m_isHeadComplete = true;
}

void RequestParser::on_body_init_impl(const boost::optional<uint64_t>& contentLength, ErrorCode&)
{
    if (contentLength)
        m_request.body.reserve(std::min(*contentLength, maximumReservedBytes));
}

size_t RequestParser::on_body_impl(StringView body, ErrorCode&)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

size_t RequestParser::on_chunk_body_impl(uint64_t, StringView body, ErrorCode&)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

} // namespace Lavenderloft::Http
