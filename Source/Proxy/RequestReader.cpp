#include "Proxy/RequestReader.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/errc.hpp>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr size_t firstReadBytes = 2048;
    // A buffer with less room is enlarged before the next read.
    constexpr size_t minimumReadBytes = 512;
    // Memory of a buffer that is counted with its connection.
    constexpr size_t usualBufferBytes = 8 * 1024;

} // namespace

RequestReader::RequestReader(beast::tcp_stream& stream, Http::MemoryBudget& budget)
    : m_stream(stream)
    , m_reservation(budget)
    , m_bufferLimit(firstReadBytes)
{
}

bool RequestReader::growBuffer()
{
    auto capacity = m_buffer.capacity();
    if (capacity - m_buffer.size() >= minimumReadBytes)
        return true;
    if (m_buffer.size() >= m_bufferLimit) {
        m_error = http::error::buffer_overflow;
        return false;
    }
    auto grown = std::min(std::max(2 * m_buffer.size(), m_buffer.size() + firstReadBytes), m_bufferLimit);
    if (!m_reservation.growTo(grown - std::min(grown, usualBufferBytes))) {
        m_error = make_error_code(boost::system::errc::not_enough_memory);
        return false;
    }
    m_buffer.max_size(grown);
    m_buffer.reserve(grown);
    return true;
}

asio::awaitable<bool> RequestReader::readMore()
{
    if (!growBuffer())
        co_return false;
    auto room = std::max(m_buffer.capacity(), m_buffer.size()) - m_buffer.size();
    auto count = co_await m_stream.async_read_some(m_buffer.prepare(room), asio::redirect_error(asio::use_awaitable, m_error));
    m_buffer.commit(count);
    co_return !m_error;
}

asio::awaitable<bool> RequestReader::awaitRequest()
{
    bool hasMore = co_await readMore();
    co_return hasMore;
}

bool RequestReader::parse(Http::RequestParser& parser)
{
    if (!hasBytes()) {
        m_error = http::error::need_more;
        return false;
    }
    auto count = parser.put(m_buffer.data(), m_error);
    m_buffer.consume(count);
    return !m_error;
}

asio::awaitable<bool> RequestReader::readHead(Http::RequestParser& parser)
{
    while (!parse(parser)) {
        if (m_error != http::error::need_more)
            co_return false;
        bool hasMore = co_await readMore();
        if (!hasMore)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> RequestReader::readPart(Http::RequestParser& parser)
{
    parser.eager(true);
    if (!parse(parser) && m_error != http::error::need_more)
        co_return false;
    if (parser.is_done())
        co_return true;
    bool hasMore = co_await readMore();
    co_return hasMore;
}

void RequestReader::shrinkBuffer()
{
    if (m_buffer.capacity() <= usualBufferBytes)
        return;
    m_buffer.shrink_to_fit();
    auto capacity = m_buffer.capacity();
    m_reservation.shrinkTo(capacity - std::min(capacity, usualBufferBytes));
}

void RequestReader::dropBytes()
{
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_reservation.shrinkTo(0);
}

} // namespace Lavenderloft::Proxy
