#include "Staging/StagingNode.h"

#include "Base/Digest.h"
#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Fleet/FleetFixture.h"
#include "Http/NodeServer.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

namespace {

constexpr unsigned pieces = 4;
constexpr unsigned layers = 16;
const std::string pieceBytes = "piece";

// A protocol whose messages are a path and, in the report, two numbers.
class PathProtocol final : public EngineProtocol {
public:
    Http::HttpRequest reportRequest() const override { return requestOf("/report"); }

    Base::Result<EngineReport, EngineError> readReport(const Http::HttpResponse& response) const override
    {
        EngineReport report;
        report.startedAt = static_cast<uint64_t>(response.body[0]);
        if (response.body[1] == '1')
            report.layers = Fleet::HeldLayers { 0, layers, 1 };
        return report;
    }

    Http::HttpRequest manifestRequest(const std::string&, uint64_t) const override { return requestOf("/manifest"); }

    Base::Result<PieceManifest, EngineError> readManifest(const Http::HttpResponse&) const override
    {
        return PieceManifest { "a model with a name that is not stored in place", 1, std::vector<std::string>(pieces, Base::sha256(pieceBytes)) };
    }

    Http::HttpRequest pieceRequest(const std::string&, uint64_t, unsigned) const override { return requestOf("/piece"); }
    Http::HttpRequest storePieceRequest(const std::string&, unsigned, std::string) const override { return requestOf("/store"); }
    Http::HttpRequest storedPieceRequest(const std::string&, unsigned) const override { return requestOf("/stored"); }
    Http::HttpRequest loadRequest(const std::string&, uint64_t, LoadMode) const override { return requestOf("/load"); }
    LoadResponse readLoadResponse(const Http::HttpResponse&) const override { return LoadResponse::Started; }

private:
    static Http::HttpRequest requestOf(const std::string& path)
    {
        Http::HttpRequest request;
        request.target = path;
        return request;
    }
};

// An agent beside an engine that keeps its stored pieces when it restarts, and is its own origin.
struct TestAgent {
    boost::asio::io_context context;
    char start = 'a';
    bool isLoaded = false;
    unsigned loads = 0;
    Fleet::TestFleetState fleet;
    Base::SystemClock clock;
    Base::SeededRandom random { 1 };
    PathProtocol protocol;
    Peering::PeerTable peers;
    Fleet::NodeSettings settings;
    std::shared_ptr<Http::NodeServer> engine;
    std::unique_ptr<Peering::ItemMerger> merger;
    std::unique_ptr<Peering::PeeringNode> peering;
    std::unique_ptr<StagingNode> node;

    TestAgent()
    {
        engine = Http::NodeServer::start(context, { "127.0.0.1", 0 }, [this](Http::HttpRequest request) { return respond(std::move(request)); });
        settings.address = "127.0.0.1";
        settings.localEngine = Http::Endpoint { "127.0.0.1", engine->port() };
        settings.localService = "e";
        Fleet::Service service;
        service.name = "e";
        service.weights = Fleet::WeightLayout { pieces, layers, { "a model with a name that is not stored in place" } };
        Fleet::Service origin;
        origin.name = "o";
        origin.origin = *settings.localEngine;
        fleet.publish("c", Fleet::configurationOf(1, { service, origin }));
        merger = std::make_unique<Peering::ItemMerger>(fleet.state, fleet.decoder, clock);
        peering = std::make_unique<Peering::PeeringNode>(context, settings, peers, *merger, clock, false);
        node = std::make_unique<StagingNode>(context, settings, fleet.state, protocol, *peering, clock, random);
        node->start();
    }

    boost::asio::awaitable<Http::HttpResponse> respond(Http::HttpRequest request)
    {
        if (request.target == "/load") {
            isLoaded = true;
            ++loads;
        }
        if (request.target == "/report")
            co_return Http::HttpResponse { 200, {}, std::string { start, isLoaded ? '1' : '0' } };
        co_return Http::HttpResponse { 200, {}, pieceBytes };
    }

    void restartEngine()
    {
        ++start;
        isLoaded = false;
    }

    // Runs until the engine was ordered to load that many times; returns whether it was.
    bool runUntilLoaded(unsigned count)
    {
        auto end = clock.now() + 10s;
        while (loads < count && clock.now() < end)
            context.run_for(50ms);
        context.run_for(300ms);
        return loads == count;
    }
};

} // namespace

// An engine that crashes holds no weights when it is back, each time. Guards against loading them after the first restart
// only: the manifest was destroyed while the list of its pieces was made anew, and the coroutine ended.
Test(StagingNode, loadsTheWeightsAfterEachRestartOfTheEngine)
{
    TestAgent agent;
    for (unsigned count = 1; count <= 4; ++count) {
        cr_assert(agent.runUntilLoaded(count), "the engine was ordered to load %u times instead of %u", agent.loads, count);
        agent.restartEngine();
    }
}
