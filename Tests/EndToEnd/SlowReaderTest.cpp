#include "EndToEnd/TestFleet.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

constexpr unsigned slowCallers = 24;
constexpr uint64_t budgetBytes = 256 * 1024;
// An answer of 600 KB, more than the buffers on its way hold.
constexpr unsigned tokens = 300;
constexpr size_t identifierBytes = 2000;
constexpr int receiveBufferBytes = 4 * 1024;

// Callers that send a request and read nothing of its answer.
class NonReadingCallers {
public:
    explicit NonReadingCallers(const Http::Endpoint& router)
    {
        for (unsigned i = 0; i < slowCallers; ++i)
            connect(router, i);
    }

private:
    using tcp = boost::asio::ip::tcp;

    void connect(const Http::Endpoint& router, unsigned number)
    {
        auto& socket = m_sockets.emplace_back(m_context);
        socket.open(tcp::v4());
        socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        socket.connect({ boost::asio::ip::make_address(router.host), router.port });
        auto prompt = "slow-" + std::to_string(number) + std::string(identifierBytes, 's');
        auto body = nlohmann::json { { "prompt", prompt }, { "maxTokens", tokens } }.dump();
        boost::asio::write(socket, boost::asio::buffer("POST /assistant HTTP/1.1\r\nHost: router\r\nX-Deadline-Ms: 600000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
    }

    boost::asio::io_context m_context;
    std::vector<tcp::socket> m_sockets;
};

} // namespace

// Guards against a router whose memory grows with the number of callers that do not read, and against fast callers
// that starve beside them.
Test(SlowReaders, areHeldWithinTheBudget)
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
    Standin::ModelEngine engine(options);
    auto router = fleet.startRouter("router-1", "dc-1", budgetBytes);
    auto agent = fleet.startModelAgent("agent-1", "dc-1", engine);
    fleet.waitForReplicas(*router, digest, 1);
    fleet.waitForAnswer(*router);

    NonReadingCallers slow(router->callers());
    waitUntil("slow readers that exceed the budget", [&] {
        cr_assert_leq(router->process().peakStreamBytes(), budgetBytes);
        return router->process().slowReadersCut() > 0;
    });
    for (int i = 0; i < 5; ++i) {
        auto identifier = "fast-" + std::to_string(i);
        auto answer = fleet.generate(router->callers(), identifier, 30);
        cr_assert(isWhole(answer, identifier, 30), "%s", answer.body.c_str());
    }
    cr_assert_leq(router->process().peakStreamBytes(), budgetBytes);
    cr_assert_gt(router->process().peakStreamBytes(), budgetBytes / 2);
}
