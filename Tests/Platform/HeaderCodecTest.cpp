#include "platform/HeaderCodec.h"

#include <criterion/criterion.h>
#include <ctime>

using namespace Lavenderloft;
using namespace Lavenderloft::Platform;
using Http::headerValue;

// Guards against misreading the header fields of a caller.
Test(HeaderCodec, readsTheHeadOfARequest)
{
    auto head = HeaderCodec().readRequestHead({ { "lavenderloft-request-id", "abc" }, { "Lavenderloft-Deadline-Ms", "6000" }, { "Api-Key", "k" }, { "Lavenderloft-Token-Usage", "1460,80" }, { "Last-Event-Id", "12" }, { "Lavenderloft-Length-Hint", "soon" } });
    cr_assert_eq(head.requestId, "abc");
    cr_assert_eq(head.deadline->count(), 6000);
    cr_assert_eq(*head.key, "k");
    cr_assert_eq(head.promptTokens, 1460);
    cr_assert_eq(head.maximumOutputTokens, 80);
    cr_assert(head.lastEventId == 12);
    cr_assert_not(head.estimatedOutputTokens.has_value());
}

// Guards against taking different prompt parts for the same one, and against malformed entries from a caller.
Test(HeaderCodec, readsThePartsOfAPrompt)
{
    auto partsOf = [](const std::string& value) { return HeaderCodec().readRequestHead({ { "Lavenderloft-Prompt-Prefix", value } }).promptParts; };
    auto parts = partsOf("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    cr_assert_eq(parts.size(), 3);
    cr_assert_eq(parts[0].id, 0x5c1e07a2);
    cr_assert_eq(parts[0].tokens, 800);
    cr_assert_eq(parts[1].id, 0x91bd3f06);
    cr_assert_eq(parts[2].tokens, 250);
    cr_assert(partsOf("").empty() && partsOf(",,:5,").empty());
    auto unusual = partsOf("x-1:5,x-2,5c1e07a25c1e07a25c1e07a2:99999999999");
    cr_assert_eq(unusual.size(), 3);
    cr_assert_neq(unusual[0].id, unusual[1].id);
    cr_assert_eq(unusual[1].tokens, 0);
    std::string many;
    for (int i = 0; i < 1000; ++i)
        many += "1:1,";
    cr_assert_eq(partsOf(many).size(), 1000, "any of them may crash targets");
}

// Guards against forwarding a caller's API key to a target, and against trusting an organisation named by the caller.
Test(HeaderCodec, overridesReservedFields)
{
    Proxy::ForwardedFields forwarding;
    forwarding.timeLeft = std::chrono::milliseconds(4200);
    forwarding.expectedTarget = "i-1";
    forwarding.organisation = "n";
    forwarding.priority = 3;
    auto headers = HeaderCodec().forwardedHeaders({ { "Api-Key", "secret" }, { "Lavenderloft-Tenant", "forged" }, { "Lavenderloft-Deadline-Ms", "6000" }, { "Lavenderloft-Request-Id", "abc" }, { "X-Own", "kept" } }, forwarding);
    cr_assert(headerValue(headers, "Api-Key").empty());
    cr_assert_eq(headerValue(headers, "Lavenderloft-Tenant"), "n");
    cr_assert_eq(headerValue(headers, "Lavenderloft-Deadline-Ms"), "4200");
    cr_assert_eq(headerValue(headers, "Lavenderloft-Request-Id"), "abc");
    cr_assert_eq(headerValue(headers, "Lavenderloft-Expect-Instance"), "i-1");
    cr_assert_eq(headerValue(headers, "X-Own"), "kept");
    forwarding.organisation.reset();
    headers = HeaderCodec().forwardedHeaders({ { "Lavenderloft-Tenant", "forged" } }, forwarding);
    cr_assert(headerValue(headers, "Lavenderloft-Tenant").empty());
}

// Guards against forwarding hop-by-hop fields, which enables request smuggling.
Test(HeaderCodec, dropsHopByHopFields)
{
    Http::HttpHeaders sent { { "Connection", "close, X-Hop" }, { "X-Hop", "1" }, { "Keep-Alive", "timeout=5" }, { "Transfer-Encoding", "chunked" }, { "Content-Length", "3" }, { "Host", "h" } };
    auto forwarded = HeaderCodec().forwardedHeaders(sent, {});
    for (auto* name : { "Connection", "X-Hop", "Keep-Alive", "Transfer-Encoding", "Content-Length" })
        cr_expect(headerValue(forwarded, name).empty(), "%s was forwarded", name);
    cr_assert_eq(headerValue(forwarded, "Host"), "h");
    cr_assert(headerValue(HeaderCodec().returnedHeaders(sent), "X-Hop").empty());
}

// Guards against resuming a stream after the event given by the caller instead of the last event forwarded.
Test(HeaderCodec, replacesLastEventIdWhenAStreamIsResumed)
{
    Proxy::ForwardedFields forwarding;
    auto headers = HeaderCodec().forwardedHeaders({ { "Last-Event-Id", "3" } }, forwarding);
    cr_assert_eq(headerValue(headers, "Last-Event-Id"), "3");
    forwarding.lastEventId = 9;
    headers = HeaderCodec().forwardedHeaders({ { "Last-Event-Id", "3" } }, forwarding);
    cr_assert_eq(headerValue(headers, "Last-Event-Id"), "9");
    cr_assert_eq(headers.size(), 3);
}

// Guards against a response that is misread as a guarantee that the request was not executed.
Test(HeaderCodec, recognisesRequestsThatWereNotExecuted)
{
    HeaderCodec codec;
    cr_assert(codec.readResponseHead(503, { { "Lavenderloft-Not-Executed", "1" } }).notExecuted);
    cr_assert(codec.readResponseHead(421, {}).notExecuted);
    cr_assert_not(codec.readResponseHead(503, {}).notExecuted);
    auto head = codec.readResponseHead(200, { { "Lavenderloft-Response-Seal", "x" }, { "Keep-Alive", "timeout=5, max=9" }, { "Lavenderloft-Cold-Ms", "120" } });
    cr_assert(head.sealed);
    cr_assert_eq(head.keepAlive->count(), 5);
    cr_assert_eq(head.coldRemaining->count(), 120);
}

// Guards against a target that holds a router back by a field which can't be read, or for ever by one that is out of range.
Test(HeaderCodec, readsWhatATargetSaysOfItself)
{
    Platform::HeaderCodec codec;
    auto retryAfter = [&](const std::string& value, unsigned status = 503) { return codec.readResponseHead(status, { { "Retry-After", value } }).statement.retryAfter; };
    cr_assert(retryAfter("3") == std::chrono::milliseconds(3000));
    cr_assert(retryAfter("0.25") == std::chrono::milliseconds(250));
    cr_assert(retryAfter("0") == std::chrono::milliseconds(0));
    cr_assert(retryAfter("99999999999999999999") == std::chrono::hours(24));
    for (auto value : { "", "-3", "soon", "1,5", "1.2.3", ".", "1e3", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT" })
        cr_assert_not(retryAfter(value).has_value(), "%s", value);
    cr_assert_not(retryAfter("3", 500).has_value());
    cr_assert(codec.readResponseHead(200, { { "server-leaving", "1" } }).statement.isLeaving);
    for (auto value : { "", "0", "yes" })
        cr_assert_not(codec.readResponseHead(200, { { "Server-Leaving", value } }).statement.isLeaving);
    cr_assert(codec.returnedHeaders({ { "Server-Leaving", "1" } }).empty());
}

// Guards against a limit that is set or ended by a field which can't be read, and against one that an odd number lifts.
Test(HeaderCodec, readsTheLimitOfATarget)
{
    using Kind = Dispatch::StatedLimit::Kind;
    Platform::HeaderCodec codec;
    auto limitOf = [&](const Http::HttpHeaders& headers, unsigned status = 200) { return codec.readResponseHead(status, headers).statement.limit; };
    auto rateOf = [&](const std::string& value) {
        auto limit = limitOf({ { "Server-Limit", value } });
        cr_expect(limit.kind == Kind::Named, "%s", value.c_str());
        return limit.requestsPerSecond;
    };
    cr_assert(limitOf({}).kind == Kind::None);
    cr_assert_eq(rateOf("1"), 1);
    cr_assert_eq(rateOf("2.5"), 2.5);
    cr_assert_eq(rateOf(".5"), 0.5);
    cr_assert_eq(rateOf("0"), 0);
    cr_assert_eq(rateOf("0.0"), 0);
    cr_assert_eq(rateOf("99999999999999999999"), 1e6);
    for (auto value : { "", "-1", "1e9", "nan", "inf", "many", "1,5", "1.2.3", ".", "1 " })
        cr_expect(limitOf({ { "Server-Limit", value } }).kind == Kind::Unreadable, "%s", value);
    // Of two fields the smaller number holds; one that can't be read is left out.
    cr_assert_eq(limitOf({ { "Server-Limit", "4" }, { "server-limit", "2" } }).requestsPerSecond, 2);
    cr_assert_eq(limitOf({ { "Server-Limit", "many" }, { "Server-Limit", "3" } }).requestsPerSecond, 3);
    cr_assert(limitOf({ { "Server-Limit", "3" }, { "Server-Limit", "many" } }).kind == Kind::Named);
    cr_assert_eq(limitOf({ { "Server-Limit", "1" } }, 500).requestsPerSecond, 1);
    cr_assert(limitOf({ { "Server-Limit", "1" } }, 421).kind == Kind::Unreadable, "another target may have sent it");
    cr_assert(codec.returnedHeaders({ { "Server-Limit", "1" } }).empty());
}

// Guards against fields that are forwarded although a Connection field lists them, because it is not the first one or has
// tabs around its names.
Test(HeaderCodec, excludesWhatAnyConnectionFieldLists)
{
    Http::HttpHeaders sent { { "connection", "close" }, { "X-First", "1" }, { "Connection", "x-first\t,\tX-SECOND" }, { "X-Second", "2" }, { "X-Other", "3" } };
    auto forwarded = HeaderCodec().forwardedHeaders(sent, {});
    cr_expect(Http::headerValue(forwarded, "X-First").empty());
    cr_expect(Http::headerValue(forwarded, "X-Second").empty());
    cr_expect_eq(Http::headerValue(forwarded, "X-Other"), "3");
    cr_expect(Http::headerValue(HeaderCodec().returnedHeaders(sent), "X-Second").empty());
}

// Guards against event loops that stand still for a head inside the limits: a comparison of each of its fields with each name
// that it lists took 0.36 s. A hundred such heads may take no longer than the second in which a caller expects an answer.
Test(HeaderCodec, takesLittleTimeForManyListedFields)
{
    constexpr unsigned fields = 2000;
    constexpr unsigned listedNames = 4000;
    constexpr unsigned heads = 100;
    std::string names;
    for (unsigned i = 0; i < listedNames; ++i)
        names += "a,";
    Http::HttpHeaders sent { { "Connection", names } };
    for (unsigned i = 0; i < fields; ++i)
        sent.push_back({ "b", "" });
    auto start = std::clock();
    size_t forwarded = 0;
    for (unsigned i = 0; i < heads; ++i)
        forwarded += HeaderCodec().forwardedHeaders(sent, {}).size() + HeaderCodec().returnedHeaders(sent).size();
    auto seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    cr_expect_geq(forwarded, 2 * heads * fields);
    cr_expect_lt(seconds, 1.0, "%f s", seconds);
}
