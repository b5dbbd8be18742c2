// An agent's machine freezes after the agent has checked the pieces that lie at its replica and before it orders the replica
// to take them. One of the pieces turns bad meanwhile.
#include "WeightsSite.h"

using namespace Review;

namespace {

constexpr const char* routerAddress = "127.0.0.1";
constexpr const char* sideAddress = "127.0.0.2";
constexpr long frozenTime = 4000;
constexpr int spoiltPiece = 5;

} // namespace

int main(int count, char** arguments)
{
    if (count < 2)
        return 2;
    Record record(std::string(arguments[1]) + "/record.txt");
    Store store;
    Origin origin(record);
    Site site;
    site.folder = makeTemporaryFolder();
    site.store = store.address();
    site.firstPort = findFreePorts({ routerAddress, sideAddress }, Site::portCount);
    site.seeds = { routerAddress };
    Engine engine(record, store, sideAddress, "i-engine-0");
    store.put("op/config", weightsConfiguration(origin.address()));
    Process router({ "target/lavenderloft", "node-router" }, site.writeSettings("front-1", routerAddress), site.folder + "/router.log");
    Process agent({ "target/lavenderloft", "node-agent" }, site.writeSettings("side-1", sideAddress, engine.address(), "pool"), site.folder + "/agent.log");
    if (!waitUntilReady(routerAddress, site.readyPort(), 10000))
        return 2;
    std::atomic<bool> stop { false };
    std::thread client([&] { requestStreams(record, 0, routerAddress, site.frontPort(), stop, [](long, bool) {}); });
    sleepFor(3000);

    std::atomic<bool> isChecked { false };
    engine.setPieceReadHandler([&](int index, bool isWhole) { isChecked = isChecked || (isWhole && index == pieceCount - 1); });
    record.line("version 2 is declared");
    store.put(std::string("op/version/") + modelName, std::string("{\"model\":\"") + modelName + "\",\"version\":2}");
    auto until = Clock::now() + std::chrono::seconds(15);
    while (!isChecked && Clock::now() < until)
        sleepFor(1);
    if (!isChecked)
        return 2;
    record.line("the agent has checked all pieces");
    if (hasTrouble()) {
        sleepFor(10);
        record.line("the machine of the agent freezes");
        agent.signal(SIGSTOP);
        sleepFor(100);
        record.line("piece %d turns bad at the replica", spoiltPiece);
        engine.spoil(spoiltPiece);
        sleepFor(frozenTime - 100);
        record.line("the machine of the agent wakes");
        agent.signal(SIGCONT);
    }
    sleepFor(6000);
    stop = true;
    client.join();
    record.line("the replica holds version %lu; tokens made on layers with a bad piece: %ld", engine.version(), engine.badTokens());
    router.kill(SIGKILL);
    agent.kill(SIGKILL);
    finish(record, engine.badTokens() > 0, site.folder);
}
