// One bit of a manifest is changed on its way from the origin. Two ways:
//   version: in the number of its version; the version that it then names is declared later.
//   digest: in the digest of a piece, while the fleet comes back from a loss of all machines.
#include "WeightsSite.h"

using namespace Review;

namespace {

constexpr const char* routerAddress = "127.0.0.1";
constexpr const char* sideAddress = "127.0.0.2";

struct Fleet {
    Record& record;
    Store store;
    Origin origin { record };
    Site site;
    std::unique_ptr<Engine> engine;
    std::unique_ptr<Process> router;
    std::unique_ptr<Process> agent;

    explicit Fleet(Record& given)
        : record(given)
    {
        site.folder = makeTemporaryFolder();
        site.store = store.address();
        site.firstPort = findFreePorts({ routerAddress, sideAddress }, Site::portCount);
        site.seeds = { routerAddress };
        engine = std::make_unique<Engine>(record, store, sideAddress, "i-engine-0");
        store.put("op/config", weightsConfiguration(origin.address()));
    }

    void start()
    {
        router = std::make_unique<Process>(std::vector<std::string> { "target/lavenderloft", "node-router" }, site.writeSettings("front-1", routerAddress), site.folder + "/router.log");
        agent = std::make_unique<Process>(std::vector<std::string> { "target/lavenderloft", "node-agent" }, site.writeSettings("side-1", sideAddress, engine->address(), "pool"), site.folder + "/agent.log");
    }

    void declare(uint64_t version)
    {
        record.line("version %lu is declared", version);
        store.put(std::string("op/version/") + modelName, std::string("{\"model\":\"") + modelName + "\",\"version\":" + std::to_string(version) + "}");
    }

    bool waitForVersion(uint64_t version, long timeout)
    {
        auto until = Clock::now() + milliseconds(timeout);
        while (engine->version() != version && Clock::now() < until)
            sleepFor(20);
        record.line("the replica holds version %lu", engine->version());
        return engine->version() == version;
    }
};

// Returns whether WHOLE was broken.
bool runVersion(Record& record, Fleet& fleet)
{
    std::atomic<bool> stop { false };
    std::atomic<int> corrupted { 0 };
    if (hasTrouble()) {
        fleet.origin.setCorrupt([&](uint64_t version, std::string& manifest) {
            if (version != 2 || corrupted++ > 0)
                return;
            auto at = manifest.find("\"version\":2");
            manifest[at + 10] ^= 1;
        });
    }
    std::thread client([&] { requestStreams(record, 0, routerAddress, fleet.site.frontPort(), stop, [](long, bool) {}); });
    sleepFor(3000);
    fleet.declare(2);
    bool isLoaded = fleet.waitForVersion(2, 15000);
    if (isLoaded) {
        sleepFor(9000);
        fleet.declare(3);
        fleet.waitForVersion(3, 15000);
        sleepFor(3000);
    }
    stop = true;
    client.join();
    record.line("tokens made on layers with pieces of another version: %ld; answers of the origin %ld, %d of them changed", fleet.engine->badTokens(), fleet.origin.answers(), std::min(1, corrupted.load()));
    if (!isLoaded)
        std::_Exit(2);
    return fleet.engine->badTokens() > 0;
}

// Returns whether RECOVER was broken.
bool runDigest(Record& record, Fleet& fleet)
{
    constexpr long recoverTime = 12000;
    constexpr long observedTime = 60000;
    std::atomic<bool> stop { false };
    std::atomic<long> backAt { 0 };
    std::atomic<long> before { 0 }, servedBefore { 0 }, after { 0 }, servedAfter { 0 };
    std::atomic<bool> isLost { false };
    std::thread client([&] {
        requestStreams(record, 0, routerAddress, fleet.site.frontPort(), stop, [&](long sentAt, bool isServed) {
            if (!isLost) {
                ++before;
                servedBefore += isServed;
            } else if (backAt && sentAt > backAt + recoverTime) {
                ++after;
                servedAfter += isServed;
            }
        });
    });
    sleepFor(5000);
    isLost = true;
    record.line("all machines lose power");
    fleet.router->kill(SIGKILL);
    fleet.agent->kill(SIGKILL);
    fleet.engine->restartEmpty();
    sleepFor(1000);
    std::atomic<int> corrupted { 0 };
    if (hasTrouble()) {
        fleet.origin.setCorrupt([&](uint64_t, std::string& manifest) {
            if (corrupted++ > 0)
                return;
            // In the first digit of the digest of piece 5.
            auto at = manifest.find("\"digests\":[") + 11 + 5 * 67 + 1;
            manifest[at] ^= 1;
        });
    }
    fleet.start();
    if (!waitUntilReady(routerAddress, fleet.site.readyPort(), 10000))
        std::_Exit(2);
    backAt = millisecondsSinceStart();
    record.line("the machines are back");
    sleepFor(recoverTime + observedTime);
    stop = true;
    client.join();
    record.line("before the fault %ld of %ld served; later than recover_s after the machines were back %ld of %ld; answers of the origin %ld, %d of them changed", servedBefore.load(), before.load(), servedAfter.load(), after.load(), fleet.origin.answers(), std::min(1, corrupted.load()));
    if (servedBefore * 4 < before)
        std::_Exit(2);
    return servedAfter * 4 < after;
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 3)
        return 2;
    Record record(std::string(arguments[1]) + "/record.txt");
    Fleet fleet(record);
    fleet.start();
    if (!waitUntilReady(routerAddress, fleet.site.readyPort(), 10000))
        return 2;
    bool isBroken = std::string(arguments[2]) == "version" ? runVersion(record, fleet) : runDigest(record, fleet);
    fleet.router->kill(SIGKILL);
    fleet.agent->kill(SIGKILL);
    finish(record, isBroken, fleet.site.folder);
}
