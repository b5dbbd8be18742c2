// The store is down without a sign for some seconds. Just after its return a configuration takes a key away.

#include "Harness.h"

using namespace Review;

namespace {

constexpr double contactSeconds = 3;
constexpr double applySeconds = 2;
constexpr double outageSeconds = 7;
const std::string revokedKey = "jnbanfqasnmgkcuyj8pj";

bool serve(Replica& replica, int socket, const Message& request)
{
    if (request.target == "/healthz")
        return Replica::answer(socket, request, 200, "ok", "Lavenderloft-Instance-Id: " + replica.id() + "\r\n");
    RECORD("replica %s: runs id %s of %s", replica.id().c_str(), request.header("Lavenderloft-Request-Id").c_str(), request.header("Lavenderloft-Tenant").c_str());
    std::this_thread::sleep_for(30ms);
    return Replica::answer(socket, request, 200, "booked");
}

} // namespace

int main(int, char** arguments)
{
    Record::instance().open(std::string(arguments[1]) + "/record.txt");
    auto deployment = std::make_unique<Deployment>();
    for (auto* id : { "i-1a", "i-1b", "i-1c" })
        deployment->addReplica({ id, "loan-ledger", "makedonia-a", 6 }, serve);
    auto configuration = configurationText(7, { { "ledger.example", "/bookings/", "unsafe", "loan-ledger" } });
    deployment->store->put("op/config", configuration);
    if (!deployment->start(1))
        endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the deployment did not start");
    sleepUntil(4);
    auto router = deployment->routerIp(0);

    struct Sent {
        double at;
        bool isServed;
    };
    std::mutex lock;
    std::vector<Sent> all;
    std::thread([&] {
        while (true) {
            std::this_thread::sleep_for(100ms);
            std::thread([&] {
                auto id = newRequestId();
                auto at = secondsNow();
                auto response = attempt(router, "POST", "ledger.example", "/bookings/", id, "instrument=ukulele", 1500);
                RECORD("client: id %s, sent at %.3f with the key %s, answered %d", id.c_str(), at, revokedKey.c_str(), response ? response->status : 0);
                std::lock_guard guard(lock);
                all.push_back({ at, response && response->status == 200 });
            }).detach();
        }
    }).detach();
    sleepUntil(8);
    auto returnedAt = secondsNow();
    if (hasTrouble()) {
        auto downAt = deployment->store->fallSilentAtWatch();
        RECORD("store: is silent");
        sleepUntil(downAt + outageSeconds);
        deployment->store->endSilence();
        returnedAt = secondsNow();
        RECORD("store: is back");
    }
    std::this_thread::sleep_for(100ms);
    auto text = configuration;
    text.replace(text.find("\"version\":7"), 11, "\"version\":9");
    text.replace(text.find(revokedKey), revokedKey.size(), "bvk9m68k7b2ex5wa5xwy");
    deployment->store->put("op/config", text);
    auto acknowledgedAt = secondsNow();
    RECORD("store: acknowledges version 9, which takes the key away");
    sleepUntil(acknowledgedAt + 8);

    auto boundAt = std::max(acknowledgedAt + applySeconds, returnedAt + contactSeconds);
    unsigned before = 0;
    unsigned late = 0;
    double last = 0;
    std::lock_guard guard(lock);
    for (auto& request : all) {
        before += request.isServed && request.at < acknowledgedAt;
        if (!request.isServed || request.at <= boundAt)
            continue;
        ++late;
        last = std::max(last, request.at);
    }
    if (before == 0)
        endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: nothing was served before");
    char text2[200];
    std::snprintf(text2, sizeof(text2), "%u requests with the dropped key ran that were sent later than 2 s after the acknowledgement and 3 s after the store's return, the last %.1f s after the acknowledgement", late, late > 0 ? last - acknowledgedAt : 0.0);
    endCase(std::move(deployment), late > 0 ? broken : held, (late > 0 ? "BROKEN CONFIG: " : "HELD: ") + std::string(text2));
}
