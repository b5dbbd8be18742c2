#include "HostileCallers/AgentUnderAttack.h"
#include "HostileCallers/Checks.h"
#include "HostileCallers/Crowd.h"
#include "HostileCallers/Datagrams.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::HostileCallers;

namespace {

const std::string itemsHead = "POST /items?after=0 HTTP/1.1\r\nHost: a\r\n";

bool servesItems(const AgentUnderAttack& agent)
{
    auto response = exchange(agent.nodes(), "GET /items?after=0 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    return response.starts_with("HTTP/1.1 200") && response.find(AgentUnderAttack::publishedKey) != std::string::npos;
}

void awaitReady(const AgentUnderAttack& agent)
{
    auto until = std::chrono::steady_clock::now() + hangTimeout;
    while (!servesItems(agent)) {
        cr_assert(std::chrono::steady_clock::now() < until, "the agent does not become ready");
        std::this_thread::sleep_for(50ms);
    }
}

void check(const AgentUnderAttack& agent)
{
    expectWithinBounds(agent);
    cr_expect(servesItems(agent));
    cr_assert(agent.isAlive(), "the process has ended");
}

} // namespace

// Guards against the end of an agent whose memory is exhausted by trailers without end behind a chunked body.
Test(HostileCallersOfAgent, sendTrailersWithoutEnd)
{
    AgentUnderAttack agent;
    awaitReady(agent);
    Crowd crowd(agent.nodes(), fewConnections);
    crowd.send(itemsHead + chunkedHead + "\r\n0\r\n");
    crowd.repeat("x-trailer: " + std::string(64 * 1024, 't') + "\r\n", endlessBytes);
    check(agent);
}

// Guards against the same end by extensions of a chunk.
Test(HostileCallersOfAgent, sendChunkExtensionsWithoutEnd)
{
    AgentUnderAttack agent;
    awaitReady(agent);
    Crowd crowd(agent.nodes(), fewConnections);
    crowd.send(itemsHead + chunkedHead + "\r\n1;");
    crowd.repeat(std::string(64 * 1024, 'e'), endlessBytes);
    check(agent);
}

// Guards against descriptors that are all taken by connections without a request.
Test(HostileCallersOfAgent, connectWithoutARequest)
{
    AgentUnderAttack agent;
    awaitReady(agent);
    Crowd crowd(agent.nodes(), manyConnections);
    std::this_thread::sleep_for(settleTime);
    check(agent);
}

// Guards against memory that fills with heads whose bodies never come.
Test(HostileCallersOfAgent, sendHalfOfABody)
{
    AgentUnderAttack agent;
    awaitReady(agent);
    Crowd crowd(agent.nodes(), manyConnections);
    crowd.send(itemsHead + "Content-Length: 60000\r\n" + manyFields(7 * 1024) + "\r\n");
    crowd.repeat(std::string(1024, 'b'), 50 * 1024);
    check(agent);
}

// Guards against the end of an agent, or memory that fills, by datagrams that no node has sent.
Test(HostileCallersOfAgent, sendDatagrams)
{
    AgentUnderAttack agent;
    awaitReady(agent);
    sendDatagrams(agent.nodes());
    check(agent);
}
