#include "EndToEnd/TestFleet.h"

#include "Routing/RequestCoordinator.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

constexpr uint64_t budgetBytes = 2 * 1024 * 1024;
// Blocked streams that fit in the budget and leave room for a few active ones.
constexpr unsigned callersWithinBudget = 18;
// A response of 320 KB, which exceeds the kernel's socket buffers between router and caller.
constexpr unsigned tokens = 4000;
constexpr size_t identifierBytes = 64;
// Consecutive polls that must find all streams blocked.
constexpr int requiredBlockedPolls = 30;
constexpr int receiveBufferBytes = 4 * 1024;

// Callers that send a request and never read from the socket.
class NonReadingCallers {
public:
    NonReadingCallers(const Http::Endpoint& router, const std::string& name, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            connect(router, name + "-" + std::to_string(i) + "-");
    }

private:
    using tcp = boost::asio::ip::tcp;

    void connect(const Http::Endpoint& router, const std::string& identifier)
    {
        auto& socket = m_sockets.emplace_back(m_context);
        socket.open(tcp::v4());
        socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        socket.connect({ boost::asio::ip::make_address(router.host), router.port });
        auto prompt = identifier + std::string(identifierBytes - identifier.size(), 's');
        auto body = nlohmann::json { { "prompt", prompt }, { "maxTokens", tokens } }.dump();
        boost::asio::write(socket, boost::asio::buffer("POST /assistant HTTP/1.1\r\nHost: router\r\nX-Deadline-Ms: 600000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
    }

    boost::asio::io_context m_context;
    std::vector<tcp::socket> m_sockets;
};

} // namespace

// Guards against memory that grows with the number of callers that do not read, and against starving fast callers
// meanwhile.
Test(SlowReaders, stayWithinTheStreamBudget)
{
    TestFleet fleet;
    auto digest = fleet.addVersion("1");
    auto& pool = fleet.declarePool(digest, 1);
    pool["coldLimit"] = 64;
    pool["fullLimit"] = 64;
    fleet.publish();
    Standin::EngineOptions options;
    options.behaviour.maximumBatch = 64;
    options.behaviour.tokensPerSecond = 1e6;
    options.behaviour.stepTime = std::chrono::milliseconds(1);
    Standin::ModelEngine engine(options);
    auto router = fleet.startRouter("router-1", "dc-1", budgetBytes);
    auto agent = fleet.startModelAgent("agent-1", "dc-1", engine);
    fleet.waitForReplicas(*router, digest, 1);
    fleet.waitForResponse(*router);

    NonReadingCallers slow(router->callers(), "slow", callersWithinBudget);
    int blockedPolls = 0;
    waitUntil("all streams to be blocked", [&] {
        bool areBlocked = router->process().heldStreamBytes() >= callersWithinBudget * Routing::blockedStreamBytes;
        blockedPolls = areBlocked ? blockedPolls + 1 : 0;
        return blockedPolls >= requiredBlockedPolls;
    });
    cr_assert_eq(router->process().abortedStreams(), 0);
    NonReadingCallers more(router->callers(), "more", callersWithinBudget);
    waitUntil("a stream to be aborted", [&] {
        cr_assert_leq(router->process().peakStreamBytes(), budgetBytes);
        return router->process().abortedStreams() > 0;
    });
    for (int i = 0; i < 5; ++i) {
        auto identifier = "fast-" + std::to_string(i);
        auto response = fleet.generate(router->callers(), identifier, 30);
        cr_assert(isComplete(response, identifier, 30), "%s", response.body.c_str());
    }
    cr_assert_leq(router->process().peakStreamBytes(), budgetBytes);
    cr_assert_gt(router->process().peakStreamBytes(), budgetBytes / 2);
}
