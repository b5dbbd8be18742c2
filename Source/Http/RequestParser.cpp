#include "Http/RequestParser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/errc.hpp>
#include <limits>

namespace Lavenderloft::Http {

namespace http = boost::beast::http;

namespace {

    // The shortest form of what stands around the method and target, and around the name and value of a field.
    constexpr size_t requestLineBytes = 12;
    constexpr size_t fieldSeparatorBytes = 3;
    // Memory of a head that is counted with its connection.
    constexpr uint64_t usualHeadMemory = 16 * 1024;
    // Memory of a header field beside its name and value.
    constexpr uint64_t fieldMemory = 96;
    // Announced bodies up to this size are not moved as they grow. Pages that nothing has arrived for take no memory.
    constexpr uint64_t maximumAnnouncedBytes = 4 * 1024 * 1024;

} // namespace

RequestParser::RequestParser(const RequestLimits& limits, MemoryReservation& reservation)
    : m_reservation(reservation)
    , m_maximumHeadBytes(limits.headBytes)
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

bool RequestParser::reserveMemory(uint64_t bodyBytes, ErrorCode& error)
{
    auto unusualHeadMemory = m_headMemory - std::min(m_headMemory, usualHeadMemory);
    if (!m_reservation.growTo(unusualHeadMemory + bodyBytes))
        error = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
    return !error;
}

void RequestParser::on_request_impl(http::verb, StringView method, StringView target, int, ErrorCode& error)
{
    if (!countHeadBytes(method.size() + target.size() + requestLineBytes, error))
        return;
    m_request.method.assign(method.data(), method.size());
    m_request.target.assign(target.data(), target.size());
}

void RequestParser::on_field_impl(http::field field, StringView name, StringView value, ErrorCode& error)
{
    if (m_isHeadComplete)
        return;
    // The base class takes a request with another coding for one without a body, and what follows for the next request.
    bool isKnownFraming = field != http::field::transfer_encoding || boost::beast::iequals(value, "chunked");
    if (!isKnownFraming) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    if (!countHeadBytes(name.size() + value.size() + fieldSeparatorBytes, error))
        return;
    m_headMemory += fieldMemory + name.size() + value.size();
    if (!reserveMemory(0, error))
        return;
    m_request.headers.push_back({ std::string(name.data(), name.size()), std::string(value.data(), value.size()) });
}

void RequestParser::on_header_impl(ErrorCode&)
{
    m_isHeadComplete = true;
}

void RequestParser::on_body_init_impl(const boost::optional<uint64_t>& contentLength, ErrorCode& error)
{
    if (!contentLength)
        return;
    // Reserved as it arrives: callers that announce bodies and do not send them would take it from the others.
    if (!m_reservation.budget().hasRoomFor(*contentLength))
        error = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
    else
        m_request.body.reserve(std::min(*contentLength, maximumAnnouncedBytes));
}

size_t RequestParser::on_body_impl(StringView body, ErrorCode& error)
{
    return appendToBody(body, error);
}

size_t RequestParser::on_chunk_body_impl(uint64_t, StringView body, ErrorCode& error)
{
    return appendToBody(body, error);
}

size_t RequestParser::appendToBody(StringView part, ErrorCode& error)
{
    auto& body = m_request.body;
    auto size = body.size() + part.size();
    // The memory of a body without an announced length doubles when it grows.
    bool mustGrow = size > body.capacity();
    if (!reserveMemory(mustGrow ? std::max(2 * body.capacity(), size) : size, error))
        return 0;
    body.append(part.data(), part.size());
    return part.size();
}

} // namespace Lavenderloft::Http
