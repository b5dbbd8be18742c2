// One part of a prompt crashes each replica that begins to write on it. The prompts have many parts.

#include "Poison.h"

using namespace Review;

namespace {

constexpr double contactSeconds = 3;
constexpr unsigned allowedRequests = 3;
constexpr unsigned crashesBefore = 5;
const std::string poisonPart = "bad0bad0";

PoisonRuns s_runs;

Replica::Handler streamingReplica()
{
    return [](Replica& replica, int socket, const Message& request) {
        static std::atomic<unsigned> starts { 0 };
        if (request.target == "/healthz")
            return Replica::answer(socket, request, 200, "ok", "Lavenderloft-Instance-Id: " + replica.id() + "\r\n");
        auto id = request.header("Lavenderloft-Request-Id");
        std::this_thread::sleep_for(30ms);
        if (request.header("Lavenderloft-Prompt-Prefix").find(poisonPart) != std::string::npos) {
            s_runs.add(replica.id(), id);
            replica.crash(2500ms, "i-9e" + std::to_string(100 + ++starts));
            std::this_thread::sleep_for(200ms);
            return false;
        }
        if (!sendAll(socket, "HTTP/1.1 200 OK\r\nLavenderloft-Request-Id: " + id + "\r\nLavenderloft-Response-Seal: seal." + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (unsigned event = 1; event <= 6; ++event) {
            auto text = "id: " + std::to_string(event) + "\ndata: word\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (!sendAll(socket, size + text + "\r\n"))
                return false;
            std::this_thread::sleep_for(20ms);
        }
        return sendAll(socket, "0\r\n\r\n");
    };
}

// A conversation of so many turns, each a part that its requests share; the last part is the request's own.
std::string promptParts(unsigned conversation, unsigned turns, bool isPoisonous)
{
    std::string text = "5c1e07a2:800";
    for (unsigned turn = 1; turn < turns; ++turn) {
        char part[32];
        std::snprintf(part, sizeof(part), ",%04x%04x:40", 0x1000 + conversation, turn);
        text += part;
    }
    if (isPoisonous)
        text += "," + poisonPart + ":410";
    static std::atomic<unsigned> own { 0 };
    char last[32];
    std::snprintf(last, sizeof(last), ",e4%06x:250", ++own);
    return text + last;
}

} // namespace

int main(int, char** arguments)
{
    Record::instance().open(std::string(arguments[1]) + "/record.txt");
    auto deployment = std::make_unique<Deployment>();
    for (unsigned i = 0; i < 8; ++i)
        deployment->addReplica({ "i-1" + std::to_string(i), "assistant", "makedonia-a", 16 }, streamingReplica());
    deployment->store->put("op/config", configurationText(7, { { "assistant.example", "/drafts/", "streaming", "assistant", 6000, 400, 2, ",\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":300" } }));
    if (!deployment->start(1))
        endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the deployment did not start");
    sleepUntil(4);
    auto router = deployment->routerIp(0);
    const unsigned turns = hasTrouble() ? 40 : 8;
    std::atomic<unsigned> sent { 0 };
    std::atomic<unsigned> served { 0 };
    std::thread([&] {
        for (unsigned i = 0;; ++i) {
            std::this_thread::sleep_for(100ms);
            std::thread([&, i] {
                auto id = newRequestId();
                auto fields = "Lavenderloft-Model: daka510000\r\nLavenderloft-Token-Usage: 1460,36\r\nLavenderloft-Prompt-Prefix: " + promptParts(i % 5, turns, false) + "\r\n";
                auto response = attempt(router, "POST", "assistant.example", "/drafts/", id, "go on", 6000, fields);
                ++sent;
                served += response && response->status == 200 && response->isWhole;
            }).detach();
        }
    }).detach();
    sleepUntil(8);
    for (unsigned i = 0; secondsNow() < 45; ++i) {
        auto id = newRequestId();
        auto fields = "Lavenderloft-Model: daka510000\r\nLavenderloft-Token-Usage: 1460,36\r\nLavenderloft-Prompt-Prefix: " + promptParts(i % 5, turns, true) + "\r\n";
        auto response = attempt(router, "POST", "assistant.example", "/drafts/", id, "go on " + id, 6000, fields);
        RECORD("client: poisonous id %s with %u shared parts, answered %d", id.c_str(), turns + 1, response ? response->status : 0);
        std::this_thread::sleep_for(1500ms);
    }

    auto all = s_runs.all();
    if (all.size() < crashesBefore && served == 0)
        endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the part crashed too few replicas, and nothing else was served");
    unsigned later = 0;
    for (auto& run : all)
        later += all.size() >= crashesBefore && run.at > all[crashesBefore - 1].at + contactSeconds;
    auto verdict = std::to_string(later) + " requests with the part reached replicas later than 3 s after the fifth crash; allowed are " + std::to_string(allowedRequests) + " (" + std::to_string(all.size()) + " crashes; " + std::to_string(served) + " of " + std::to_string(sent) + " sound requests served)";
    bool isBroken = later > allowedRequests;
    endCase(std::move(deployment), isBroken ? broken : held, (isBroken ? "BROKEN BUDGET: " : "HELD: ") + verdict);
}
