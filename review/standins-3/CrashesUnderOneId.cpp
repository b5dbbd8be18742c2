// A request crashes each replica that runs it, and its client sends it again and again. The replicas start again under the ids
// that they had.

#include "Poison.h"

using namespace Review;

namespace {

constexpr double contactSeconds = 3;
constexpr unsigned allowedRetries = 3;

} // namespace

int main(int, char** arguments)
{
    Record::instance().open(std::string(arguments[1]) + "/record.txt");
    auto deployment = std::make_unique<Deployment>();
    PoisonRuns runs;
    for (auto* id : { "i-1a", "i-1b", "i-1c" })
        deployment->addReplica({ id, "loan-ledger", "makedonia-a", 6 }, crashingReplica(runs, 2000ms, hasTrouble()));
    deployment->store->put("op/config", configurationText(7, { { "ledger.example", "/bookings/", "unsafe", "loan-ledger" } }));
    if (!deployment->start(1))
        endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the deployment did not start");
    sleepUntil(4);
    std::vector<std::string> routers { deployment->routerIp(0) };
    OrdinaryTraffic ordinary(routers, "POST", "ledger.example", "/bookings/", 200ms);

    while (secondsNow() < 57) {
        auto id = newRequestId();
        auto response = attempt(routers[0], "POST", "ledger.example", "/bookings/", id, poisonBody, 1500);
        RECORD("client: poisonous id %s, answered %d", id.c_str(), response ? response->status : 0);
        std::this_thread::sleep_for(2500ms);
    }

    auto all = runs.all();
    if (all.size() < 3 || ordinary.served == 0)
        endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the request crashed fewer than three replicas, or nothing else was served");
    std::set<std::string> replicas;
    double third = 0;
    for (auto& run : all) {
        replicas.insert(run.replica);
        if (replicas.size() == 3 && third == 0)
            third = run.at;
    }
    unsigned retries = 0;
    for (auto& run : all)
        retries += third > 0 && run.at > third + contactSeconds;
    auto verdict = "the request reached replicas in " + std::to_string(retries) + " retries later than 3 s after it had crashed the third replica; allowed are " + std::to_string(allowedRetries) + " (" + std::to_string(all.size()) + " crashes; " + std::to_string(ordinary.served) + " of " + std::to_string(ordinary.sent) + " ordinary bookings served)";
    bool isBroken = retries > allowedRetries;
    endCase(std::move(deployment), isBroken ? broken : held, (isBroken ? "BROKEN BUDGET: " : "HELD: ") + verdict);
}
