#pragma once

#include "Http/MemoryBudget.h"
#include "Http/RequestParser.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>

namespace Lavenderloft::Proxy {

// Reads the requests of one caller's connection. The buffer of the connection grows only with permission of the memory
// budget, beyond a size that is counted with each connection, and becomes small again after a request.
class RequestReader {
public:
    RequestReader(boost::beast::tcp_stream&, Http::MemoryBudget&);

    // Largest size of the buffer, from the next read on. A larger head, chunk header or trailer fails with buffer_overflow.
    void setBufferLimit(size_t bytes) { m_bufferLimit = bytes; }

    // Whether bytes have arrived that belong to the next request.
    bool hasBytes() const { return m_buffer.size() > 0; }

    // Waits for the first bytes of a request. This and the following return false if they fail, see error().
    boost::asio::awaitable<bool> awaitRequest();

    // Reads until the head is complete.
    boost::asio::awaitable<bool> readHead(Http::RequestParser&);

    // Reads a part of the body.
    boost::asio::awaitable<bool> readPart(Http::RequestParser&);

    // Why the last operation failed: not_enough_memory without permission, buffer_overflow at the limit of the buffer, or an
    // error of the connection or the parser.
    const boost::beast::error_code& error() const { return m_error; }

    // Frees what the buffer does not need for the bytes that it holds.
    void shrinkBuffer();

    // Drops the bytes that have arrived and frees the buffer, because the connection serves no other request.
    void dropBytes();

private:
    // Reads once into the buffer.
    boost::asio::awaitable<bool> readMore();
    // Makes room for more bytes. Returns false if it may not.
    bool growBuffer();
    // Passes the bytes of the buffer to the parser. Returns whether it needs no more of them for now.
    bool parse(Http::RequestParser&);

    boost::beast::tcp_stream& m_stream;
    Http::MemoryReservation m_reservation;
    boost::beast::flat_buffer m_buffer;
    size_t m_bufferLimit;
    boost::beast::error_code m_error;
};

} // namespace Lavenderloft::Proxy
