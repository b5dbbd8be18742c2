#include "HostileCallers/Checks.h"
#include "HostileCallers/Crowd.h"
#include "HostileCallers/Datagrams.h"
#include "HostileCallers/RouterChecks.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::HostileCallers;
using namespace std::chrono_literals;

namespace {

void expectMetrics(const RouterUnderAttack& router)
{
    auto response = exchange(router.nodes(), "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    cr_expect(response.starts_with("HTTP/1.1 200"), "the metrics got \"%s\"", response.substr(0, 200).c_str());
}

void attackAndCheck(const RouterUnderAttack& router, const tcp::endpoint& endpoint, const std::string& start, const std::string& repeated)
{
    Crowd crowd(endpoint, fewConnections);
    crowd.send(start);
    crowd.repeat(repeated, endlessBytes);
    expectWithinBounds(router);
    expectServed(router);
}

} // namespace

// Guards against the end of a process whose memory is exhausted by trailers without end behind a chunked body.
Test(HostileCallers, sendTrailersWithoutEnd)
{
    RouterUnderAttack router;
    awaitReady(router);
    attackAndCheck(router, router.callers(), RouterUnderAttack::requestHead("POST", "/p", chunkedHead) + "1\r\nx\r\n0\r\n", "x-trailer: " + std::string(64 * 1024, 't') + "\r\n");
}

// Guards against memory that fills with the fields of trailers, each of which took far more memory than it has bytes. The
// trailers do not end, so that nothing of these requests is served.
Test(HostileCallers, sendVeryManyTrailers)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections / 4);
    crowd.repeat(RouterUnderAttack::requestHead("POST", "/p", chunkedHead) + "1\r\nx\r\n0\r\n" + manyFields(62 * 1024) + "no field\r\n\r\n", 62 * 1024 + 200);
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against the same end by extensions of a chunk.
Test(HostileCallers, sendChunkExtensionsWithoutEnd)
{
    RouterUnderAttack router;
    awaitReady(router);
    attackAndCheck(router, router.callers(), RouterUnderAttack::requestHead("POST", "/p", chunkedHead) + "1;", std::string(64 * 1024, 'e'));
}

// Guards against the same end at the address of the nodes, which also serves the metrics.
Test(HostileCallers, sendTrailersWithoutEndToTheNodeAddress)
{
    RouterUnderAttack router;
    awaitReady(router);
    attackAndCheck(router, router.nodes(), "POST /metrics HTTP/1.1\r\nHost: a\r\n" + chunkedHead + "\r\n0\r\n", "x-trailer: " + std::string(64 * 1024, 't') + "\r\n");
    expectMetrics(router);
}

// Guards against the same end at the readiness address.
Test(HostileCallers, sendChunkExtensionsWithoutEndToTheReadinessAddress)
{
    RouterUnderAttack router;
    awaitReady(router);
    attackAndCheck(router, router.readiness(), "POST / HTTP/1.1\r\nHost: a\r\n" + chunkedHead + "\r\n1;", std::string(64 * 1024, 'e'));
}

// Guards against memory that fills with header fields, each of which takes far more memory than it has bytes. The bodies
// of these requests never come.
Test(HostileCallers, sendVeryManyHeaders)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections);
    crowd.send(RouterUnderAttack::requestHead("POST", "/p", "Content-Length: 100\r\n" + manyFields(15 * 1024)));
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against buffers of connections that exceed the memory of the VM beside bodies within their own limit. The operator
// allows long heads here, so that few connections show it.
Test(HostileCallers, fillBuffersBesideBodies)
{
    constexpr size_t longHeadBytes = 512 * 1024;
    RouterUnderAttack router(0, longHeadBytes);
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections / 4);
    const std::string body(longHeadBytes, 'b');
    auto request = RouterUnderAttack::requestHead("POST", "/p", chunkedHead) + Proxy::chunkOf(body) + "1;e=" + std::string(longHeadBytes + longHeadBytes / 2, 'e');
    crowd.repeat(request, request.size());
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against descriptors that are all taken by requests whose heads never end.
Test(HostileCallers, sendHalfOfAHead)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections);
    crowd.send("POST /p HTTP/1.1\r\nHost: hostile.example\r\n" + manyFields(12 * 1024));
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against descriptors that are all taken by connections without a request.
Test(HostileCallers, connectWithoutARequest)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections);
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against the same at the addresses of the nodes and of readiness.
Test(HostileCallers, connectWithoutARequestToTheOtherAddresses)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd atNodes(router.nodes(), manyConnections);
    Crowd atReadiness(router.readiness(), manyConnections);
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router);
    expectMetrics(router);
}

// Guards against memory that grows with requests that are sent without awaiting their responses.
Test(HostileCallers, pipelineRequestsWithoutEnd)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), fewConnections);
    std::string requests;
    while (requests.size() < 64 * 1024)
        requests += RouterUnderAttack::requestHead("GET", "/p", "");
    crowd.repeat(requests, endlessBytes);
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against memory that fills with responses that their callers do not read.
Test(HostileCallers, readNoResponses)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections / 4);
    for (unsigned i = 0; i < 3; ++i)
        crowd.send(RouterUnderAttack::requestHead("GET", "/long", ""));
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against memory that fills with copies of the published items for callers that do not read them.
Test(HostileCallers, readNoItems)
{
    RouterUnderAttack router(700 * 1024);
    awaitReady(router);
    Crowd crowd(router.nodes(), manyConnections / 2);
    crowd.send("GET /items?after=0 HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against announced bodies that never come and that take all memory for bodies, so that an ordinary request with a
// body is refused.
Test(HostileCallers, announceBodiesThatNeverCome)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections / 16);
    crowd.send(RouterUnderAttack::requestHead("POST", "/p", "Content-Length: 4000000\r\n"));
    std::this_thread::sleep_for(settleTime);
    // Takes what the large bodies leave.
    Crowd others(router.callers(), manyConnections / 8);
    others.send(RouterUnderAttack::requestHead("POST", "/p", "Content-Length: 100000\r\n"));
    std::this_thread::sleep_for(settleTime);
    expectWithinBounds(router);
    expectServed(router, std::string(100000, 'b'));
}

// Guards against descriptors and memory that are taken by bodies that arrive a byte a second.
Test(HostileCallers, sendBodiesByTheByte)
{
    RouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections);
    crowd.send(RouterUnderAttack::requestHead("POST", "/p", "Content-Length: 4000000\r\n"));
    for (unsigned i = 0; i < 3; ++i) {
        crowd.send("b");
        std::this_thread::sleep_for(1s);
    }
    expectWithinBounds(router);
    expectServed(router, std::string(1000, 'b'));
}

// Guards against limits that refuse a single request inside the limits of the configuration: a head of almost
// max_header_bytes, of the shortest fields, and a body of almost max_body_bytes, in small chunks and a large one.
Test(HostileCallers, areNotThoseWithASingleRequestInsideTheLimits)
{
    RouterUnderAttack router;
    awaitReady(router);
    std::string body;
    for (unsigned i = 0; i < 10000; ++i)
        body += "1\r\nb\r\n";
    body += Proxy::chunkOf(std::string(4000000, 'b')) + "0\r\n\r\n";
    auto head = RouterUnderAttack::requestHead("POST", "/p", "Connection: close\r\n" + chunkedHead + manyFields(15 * 1024));
    auto response = exchange(router.callers(), head + body);
    cr_expect(response.starts_with("HTTP/1.1 200") && response.ends_with("hello"), "%s", response.c_str());
}

// Guards against a caller that adds header fields, for instance the key of an organisation, behind its body, where no
// component in front of the router looks for them.
Test(HostileCallers, cannotAddHeaderFieldsByTrailers)
{
    RouterUnderAttack router;
    awaitReady(router);
    auto request = RouterUnderAttack::requestHead("POST", "/head", "Connection: close\r\n" + chunkedHead) + "1\r\nx\r\n0\r\nX-Late: added\r\n\r\n";
    auto response = exchange(router.callers(), request);
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
    cr_expect_eq(response.find("X-Late"), std::string::npos, "%s", response.c_str());
}

// Guards against the end of a router, or memory that fills, by datagrams that no node has sent.
Test(HostileCallers, sendDatagrams)
{
    RouterUnderAttack router;
    awaitReady(router);
    sendDatagrams(router.nodes());
    expectWithinBounds(router);
    expectServed(router);
}
