#include "Http/RequestParser.h"

#include <boost/beast/http/error.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Http;

namespace {

// What became of the bytes of a connection.
struct Parsed {
    boost::beast::error_code error;
    bool isComplete = false;
    std::string body;
    size_t usedBytes = 0;
};

Parsed parse(const std::string& fields, const std::string& body)
{
    MemoryBudget budget(MemoryBudget::defaultLimitBytes);
    MemoryReservation reservation(budget);
    RequestParser parser({}, reservation);
    parser.eager(true);
    auto bytes = "POST /bookings/ HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n" + body;
    Parsed parsed;
    parsed.usedBytes = parser.put(boost::asio::buffer(bytes), parsed.error);
    parsed.isComplete = !parsed.error && parser.is_done();
    parsed.body = parser.request().body;
    return parsed;
}

const std::string inner = "GET /inner HTTP/1.1\r\nHost: a.example\r\n\r\n";

} // namespace

// Guards against a request that stands inside another one and runs: a request with a transfer coding that is not chunked was
// taken for one without a body.
Test(RequestParser, refusesATransferCodingThatIsNotChunked)
{
    for (std::string coding : { "identity", "chunked, identity", "xchunked", "gzip, chunked", "chunked, chunked", "chunked;x=1", "chunked,", "" }) {
        for (std::string length : { "", "Content-Length: 5\r\n" }) {
            auto parsed = parse("Transfer-Encoding: " + coding + "\r\n" + length, inner);
            cr_expect(parsed.error == boost::beast::http::error::bad_transfer_encoding, "coding \"%s\"", coding.c_str());
        }
    }
    auto second = parse("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n");
    cr_expect(second.error);
}

// Guards against the same by two lengths, of which two parsers may choose different ones.
Test(RequestParser, refusesARequestWithTwoLengths)
{
    for (std::string fields : { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" })
        cr_expect(parse(fields, "0\r\n\r\n").error, "%s", fields.c_str());
}

// Guards against ordinary requests that are refused with those.
Test(RequestParser, readsABodyInChunksOrWithALength)
{
    for (std::string coding : { "chunked", "Chunked" }) {
        auto parsed = parse("Transfer-Encoding: " + coding + "\r\n", "5\r\nhello\r\n0\r\n\r\n");
        cr_expect(parsed.isComplete);
        cr_expect_eq(parsed.body, "hello");
    }
    auto parsed = parse("Content-Length: 5\r\n", "hello" + inner);
    cr_expect(parsed.isComplete);
    cr_expect_eq(parsed.body, "hello");
}
