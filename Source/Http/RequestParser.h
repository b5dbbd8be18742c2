#pragma once

#include "Http/HttpMessage.h"
#include "Http/MemoryBudget.h"

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>

namespace Lavenderloft::Http {

// How much of a request is read.
struct RequestLimits {
    // Request line and header fields.
    size_t headBytes = 16 * 1024;
    uint64_t bodyBytes = 4 * 1024 * 1024;
};

// Parses one request. Before it takes memory for a body or an unusually large head it asks the reservation; without
// permission the error is not_enough_memory. A field may have any length within the limit of the head, and the limit also holds for a head that
// arrives in many small parts: header_limit and body_limit are the errors of a request that exceeds its limits. Trailers
// are checked and dropped, because header fields must not be added behind the body. A transfer coding other than chunked is
// the error bad_transfer_encoding: where such a request ends can't be told.
class RequestParser final : public boost::beast::http::basic_parser<true> {
public:
    // The reservation is used as long as the parser, and covers the request afterwards.
    RequestParser(const RequestLimits&, MemoryReservation&);

    // What has arrived so far.
    const HttpRequest& request() const { return m_request; }

    // Returns the request; the parser is not used again.
    HttpRequest takeRequest() { return std::move(m_request); }

private:
    using ErrorCode = boost::beast::error_code;
    using StringView = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, StringView method, StringView target, int version, ErrorCode&) override;
    void on_response_impl(int, StringView, int, ErrorCode&) override { }
    void on_field_impl(boost::beast::http::field, StringView name, StringView value, ErrorCode&) override;
    void on_header_impl(ErrorCode&) override;
    void on_body_init_impl(const boost::optional<uint64_t>& contentLength, ErrorCode&) override;
    size_t on_body_impl(StringView body, ErrorCode&) override;
    void on_chunk_header_impl(uint64_t, StringView, ErrorCode&) override { }
    size_t on_chunk_body_impl(uint64_t remaining, StringView body, ErrorCode&) override;
    void on_finish_impl(ErrorCode&) override { }

    // Counts bytes of the head, and sets the error if there are too many.
    bool countHeadBytes(size_t, ErrorCode&);
    // Asks for the memory of the head and a body of the given size, and sets the error if there is none.
    bool reserveMemory(uint64_t bodyBytes, ErrorCode&);
    size_t appendToBody(StringView, ErrorCode&);

    MemoryReservation& m_reservation;
    const size_t m_maximumHeadBytes;
    size_t m_headBytes = 0;
    // Memory of the head.
    uint64_t m_headMemory = 0;
    bool m_isHeadComplete = false;
    HttpRequest m_request;
};

} // namespace Lavenderloft::Http
