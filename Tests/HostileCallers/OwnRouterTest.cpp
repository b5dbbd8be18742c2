#include "HostileCallers/Checks.h"
#include "HostileCallers/Crowd.h"
#include "HostileCallers/OwnRouterUnderAttack.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::HostileCallers;

namespace {

std::string head(const std::string& headers)
{
    return "POST /p HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

bool isServed(const OwnRouterUnderAttack& router)
{
    return exchange(router.callers(), head("Connection: close\r\nContent-Length: 0\r\n")).starts_with("HTTP/1.1 ");
}

bool isHealthy(const OwnRouterUnderAttack& router)
{
    return exchange(router.admin(), "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200");
}

void awaitReady(const OwnRouterUnderAttack& router)
{
    auto until = std::chrono::steady_clock::now() + hangTimeout;
    while (!isHealthy(router)) {
        cr_assert(std::chrono::steady_clock::now() < until, "the router does not become ready");
        std::this_thread::sleep_for(50ms);
    }
}

void check(const OwnRouterUnderAttack& router)
{
    expectWithinBounds(router);
    cr_expect(isServed(router));
    cr_expect(isHealthy(router));
    cr_assert(router.isAlive(), "the process has ended");
}

} // namespace

// Guards against the end of a process whose memory is exhausted by trailers without end behind a chunked body.
Test(HostileCallersOfOwnRouter, sendTrailersWithoutEnd)
{
    OwnRouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), fewConnections);
    crowd.send(head(chunkedHead) + "0\r\n");
    crowd.repeat("x-trailer: " + std::string(64 * 1024, 't') + "\r\n", endlessBytes);
    check(router);
}

// Guards against the same end by extensions of a chunk, at the address of the metrics.
Test(HostileCallersOfOwnRouter, sendChunkExtensionsWithoutEndToTheAdminAddress)
{
    OwnRouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.admin(), fewConnections);
    crowd.send(head(chunkedHead) + "1;");
    crowd.repeat(std::string(64 * 1024, 'e'), endlessBytes);
    check(router);
}

// Guards against descriptors that are all taken by connections without a request, and a thread that spins meanwhile.
Test(HostileCallersOfOwnRouter, connectWithoutARequest)
{
    OwnRouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections);
    std::this_thread::sleep_for(settleTime);
    check(router);
}

// Guards against memory that fills with bodies whose last byte never comes.
Test(HostileCallersOfOwnRouter, sendBodiesWithoutTheLastByte)
{
    constexpr size_t bodyBytes = 2 * 1024 * 1024;
    OwnRouterUnderAttack router;
    awaitReady(router);
    Crowd crowd(router.callers(), manyConnections / 4);
    crowd.send(head("Content-Length: " + std::to_string(bodyBytes + 1) + "\r\n"));
    crowd.repeat(std::string(64 * 1024, 'b'), bodyBytes);
    std::this_thread::sleep_for(settleTime);
    check(router);
}
