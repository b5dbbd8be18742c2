#include "Fuzzing/FuzzingChecks.h"
#include "Http/RequestParser.h"
#include "platform/HeaderCodec.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

using namespace Lavenderloft;
using Fuzzing::require;

namespace http = boost::beast::http;

namespace {

constexpr Http::RequestLimits limits { 512 * 1024, 64 * 1024 };
// Stands for a run of bytes that is longer than a field of Beast's message.
constexpr char longRun = '\x01';
constexpr size_t longRunBytes = 70000;
constexpr size_t maximumLongRuns = 3;
// Bytes that a field has beside its name and value.
constexpr size_t fieldSeparatorBytes = 3;

std::string expand(std::string_view input)
{
    std::string bytes;
    size_t runs = 0;
    for (char c : input) {
        if (c == longRun && runs++ < maximumLongRuns)
            bytes.append(longRunBytes, 'x');
        else
            bytes.push_back(c);
    }
    return bytes;
}

size_t headBytes(const Http::HttpRequest& request)
{
    auto bytes = request.method.size() + request.target.size();
    for (auto& header : request.headers)
        bytes += header.name.size() + header.value.size() + fieldSeparatorBytes;
    return bytes;
}

// Passes the bytes to a parser in parts, as they may arrive. Returns the request if it is complete.
std::optional<Http::HttpRequest> parse(std::string_view bytes, size_t partBytes)
{
    Http::MemoryBudget budget(Http::MemoryBudget::defaultLimitBytes);
    Http::MemoryReservation reservation(budget);
    Http::RequestParser parser(limits, reservation);
    parser.eager(true);
    size_t available = 0;
    while (!parser.is_done() && available < bytes.size()) {
        available = std::min(available + partBytes, bytes.size());
        boost::beast::error_code error;
        auto consumed = parser.put(boost::asio::buffer(bytes.data(), available), error);
        require(consumed <= available);
        require(headBytes(parser.request()) <= limits.headBytes && parser.request().body.size() <= limits.bodyBytes);
        if (error && error != http::error::need_more)
            return std::nullopt;
        bytes.remove_prefix(consumed);
        available -= consumed;
    }
    return parser.is_done() ? std::optional(parser.takeRequest()) : std::nullopt;
}

bool isEqual(const Http::HttpHeaders& left, const Http::HttpHeaders& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](auto& a, auto& b) { return a.name == b.name && a.value == b.value; });
}

void checkSameRequest(const Http::HttpRequest& whole, const Http::HttpRequest& parts)
{
    require(whole.method == parts.method && whole.target == parts.target && whole.body == parts.body);
    require(isEqual(whole.headers, parts.headers));
}

void checkForwarding(const Http::HttpRequest& request)
{
    const Platform::HeaderCodec codec;
    auto head = codec.readRequestHead(request.headers);
    require(!head.deadline || head.deadline->count() >= 0);
    auto forwarded = codec.forwardedHeaders(request.headers, {});
    require(Http::headerValue(forwarded, "Connection").empty() && Http::headerValue(forwarded, "Api-Key").empty());
    codec.returnedHeaders(request.headers);
    codec.readResponseHead(503, request.headers);
}

} // namespace

// No exception may leave the functions: libFuzzer reports one as a crash.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    if (size == 0)
        return 0;
    size_t partBytes = data[0] + 1;
    auto bytes = expand({ reinterpret_cast<const char*>(data + 1), size - 1 });
    auto whole = parse(bytes, bytes.size());
    // Long inputs in small parts would take the time of many others.
    auto parts = parse(bytes, std::max(partBytes, bytes.size() / 64));
    require(whole.has_value() == parts.has_value());
    if (!whole)
        return 0;
    checkSameRequest(*whole, *parts);
    checkForwarding(*whole);
    return 0;
}
