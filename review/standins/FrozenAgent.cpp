// An agent's machine freezes after the agent has checked the pieces that lie at its replica and before it orders the replica
// to take them. One of the pieces turns bad meanwhile.
#include "WeightsSite.h"

using namespace Review;

namespace {

constexpr const char* routerAddress = "127.0.0.1";
// One of nine agents freezes: 0.11 of them.
constexpr int sideCount = 9;
constexpr int clientCount = 6;
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
    std::vector<std::string> sideAddresses;
    for (int i = 0; i < sideCount; ++i)
        sideAddresses.push_back("127.0.0." + std::to_string(i + 2));
    auto addresses = sideAddresses;
    addresses.push_back(routerAddress);
    site.firstPort = findFreePorts(addresses, Site::portCount);
    site.seeds = { routerAddress };
    store.put("op/config", weightsConfiguration(origin.address()));
    Process router({ "target/lavenderloft", "node-router" }, site.writeSettings("front-1", routerAddress), site.folder + "/router.log");
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Process>> agents;
    for (int i = 0; i < sideCount; ++i) {
        auto number = std::to_string(i);
        engines.push_back(std::make_unique<Engine>(record, store, sideAddresses[i], "i-engine-" + number));
        agents.push_back(std::make_unique<Process>(std::vector<std::string> { "target/lavenderloft", "node-agent" }, site.writeSettings("side-" + number, sideAddresses[i], engines.back()->address(), "pool"), site.folder + "/agent-" + number + ".log"));
    }
    if (!waitUntilReady(routerAddress, site.readyPort(), 10000))
        return 2;
    std::atomic<bool> stop { false };
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i)
        clients.emplace_back([&, i] { requestStreams(record, i, routerAddress, site.frontPort(), stop, [](long, bool) {}); });
    sleepFor(3000);

    // The first agent that has checked all pieces.
    std::atomic<int> chosen { -1 };
    for (int i = 0; i < sideCount; ++i) {
        engines[i]->setPieceReadHandler([&chosen, i](int index, bool isWhole) {
            int none = -1;
            if (isWhole && index == pieceCount - 1)
                chosen.compare_exchange_strong(none, i);
        });
    }
    record.line("version 2 is declared");
    store.put(std::string("op/version/") + modelName, std::string("{\"model\":\"") + modelName + "\",\"version\":2}");
    auto until = Clock::now() + std::chrono::seconds(15);
    while (chosen < 0 && Clock::now() < until)
        sleepFor(1);
    if (chosen < 0)
        return 2;
    auto& agent = *agents[chosen];
    auto& engine = *engines[chosen];
    record.line("agent %d has checked all pieces", chosen.load());
    if (hasTrouble()) {
        sleepFor(10);
        record.line("the machine of agent %d freezes", chosen.load());
        agent.signal(SIGSTOP);
        sleepFor(100);
        record.line("piece %d turns bad at the replica", spoiltPiece);
        engine.spoil(spoiltPiece);
        sleepFor(frozenTime - 100);
        record.line("the machine of agent %d wakes", chosen.load());
        agent.signal(SIGCONT);
    }
    sleepFor(8000);
    stop = true;
    for (auto& client : clients)
        client.join();
    record.line("the replica holds version %lu; tokens made on layers with a bad piece: %ld", engine.version(), engine.badTokens());
    router.kill(SIGKILL);
    for (auto& process : agents)
        process->kill(SIGKILL);
    finish(record, engine.badTokens() > 0, site.folder);
}
