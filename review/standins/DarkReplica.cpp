// A replica of one service goes dark for some seconds, several times, while clients with short deadlines call that
// service. Meanwhile other clients have requests at a sound replica of another service, over kept connections.
#include "Replica.h"

using namespace Review;

namespace {

constexpr long duration = 95000;
constexpr long darkTime = 4500;
constexpr long lightTime = 3000;
// Three heartbeats of silence, after which the store removes the entry.
constexpr long expiryTime = 3600;
constexpr int replicaCount = 6;
constexpr int shortClients = 90;
constexpr int bookingClients = 8;
constexpr long shortDeadline = 300;
constexpr long bookingDeadline = 6000;
constexpr long bookingWork = 1000;
constexpr const char* routerAddress = "127.0.0.1";

const char* const configuration = R"({"version":7,"routes":[
{"name":"reserve","host":"reserve.example","prefix":"/stock/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"ledger","max_attempts":2,"public":true,"session_affinity":false,"resumable":false,"gap_aim_ms":0,"allowed_regions":[]},
{"name":"booking","host":"booking.example","prefix":"/loans/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":3000,"priority":2,"service":"bookings","max_attempts":1,"public":true,"session_affinity":false,"resumable":false,"gap_aim_ms":0,"allowed_regions":[]}],
"services":[{"name":"ledger","health_check":"/healthz","max_connections":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},{"name":"bookings","health_check":"/healthz","max_connections":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Counts {
    std::atomic<long> sent { 0 };
    std::atomic<long> answered { 0 };
    std::atomic<long> leftAtDeadline { 0 };
    // Requests that a sound replica ran and whose kept connection was closed without an answer.
    std::atomic<long> lost { 0 };
    std::atomic<bool> stop { false };
};

std::string requestText(const std::string& method, const std::string& host, const std::string& path, const std::string& id, long deadline, const std::string& body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nLavenderloft-Request-Id: " + id + "\r\nLavenderloft-Deadline-Ms: " + std::to_string(deadline) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Waits for the answer until its deadline, then closes the connection.
void reserve(Record& record, Counts& counts, int client, int port)
{
    std::mt19937 random(static_cast<unsigned>(client) + 1);
    for (int number = 0; !counts.stop; ++number) {
        auto id = "reserve-" + std::to_string(client) + "-" + std::to_string(number);
        auto connection = connectTo(routerAddress, port);
        record.line("client sends %s", id.c_str());
        auto sentAt = Clock::now();
        if (connection && connection->write(requestText("POST", "reserve.example", "/stock/item", id, shortDeadline, "item " + id))) {
            ++counts.sent;
            Message response;
            auto result = connection->read(response, sentAt + milliseconds(shortDeadline));
            if (result == ReadResult::Complete)
                ++counts.answered;
            if (result == ReadResult::TimedOut)
                ++counts.leftAtDeadline;
            record.line("client %s: %s", id.c_str(), result == ReadResult::Complete ? std::to_string(response.status).c_str() : result == ReadResult::TimedOut ? "deadline passed, connection closed"
                                                                                                                                                               : "connection closed by the router");
        }
        connection.reset();
        sleepFor(static_cast<long>(random() % 200));
    }
}

void book(Record& record, Counts& counts, int client, int port, Replica& replica)
{
    std::unique_ptr<Connection> connection;
    for (int number = 0; !counts.stop; ++number) {
        auto id = "booking-" + std::to_string(client) + "-" + std::to_string(number);
        bool isKept = connection != nullptr;
        if (!connection)
            connection = connectTo(routerAddress, port);
        if (!connection) {
            sleepFor(50);
            continue;
        }
        Message response;
        record.line("client sends %s", id.c_str());
        bool isSent = connection->write(requestText("POST", "booking.example", "/loans/new", id, bookingDeadline, "loan " + id));
        auto result = isSent ? connection->read(response, Clock::now() + milliseconds(bookingDeadline + 1000)) : ReadResult::Closed;
        if (result == ReadResult::Complete) {
            record.line("client %s: %d", id.c_str(), response.status);
            continue;
        }
        bool hasRun = replica.hasRun(id);
        record.line("client %s: no answer, connection %s, %s", id.c_str(), isKept ? "kept from an earlier request" : "new", hasRun ? "the replica has run it" : "the replica has not run it");
        if (isKept && hasRun && result != ReadResult::TimedOut)
            ++counts.lost;
        connection.reset();
    }
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 2)
        return 2;
    Record record(std::string(arguments[1]) + "/record.txt");
    Store store;
    Site site;
    site.folder = makeTemporaryFolder();
    site.store = store.address();
    site.firstPort = findFreePorts({ routerAddress }, Site::portCount);
    site.seeds = { routerAddress };

    std::mt19937 random(7);
    std::vector<std::unique_ptr<Replica>> ledger;
    std::vector<std::string> ids;
    for (int i = 0; i < replicaCount; ++i) {
        ledger.push_back(std::make_unique<Replica>(record, "ledger-" + std::to_string(i), [](const Message&) { return 30L; }));
        ids.push_back("i-ledger-" + std::to_string(i) + "-0");
        ledger.back()->setId(ids.back());
        store.put("servers/" + ids.back(), serverEntry("ledger", ledger.back()->address(), 6, 1000 + i));
    }
    Replica bookings(record, "bookings-0", [](const Message&) { return bookingWork; });
    bookings.setId("i-bookings");
    store.put("servers/i-bookings", serverEntry("bookings", bookings.address(), 16, 900));
    store.put("op/config", configuration);

    Process router({ "target/lavenderloft", "node-router" }, site.writeSettings("front-1", routerAddress), site.folder + "/router.log");
    if (!waitUntilReady(routerAddress, site.readyPort(), 10000)) {
        record.line("the router did not become ready");
        return 2;
    }
    // Longer than contact_ms.
    sleepFor(4000);
    Counts counts;
    std::vector<std::thread> clients;
    for (int i = 0; i < shortClients; ++i)
        clients.emplace_back([&, i] { reserve(record, counts, i, site.frontPort()); });
    for (int i = 0; i < bookingClients; ++i)
        clients.emplace_back([&, i] { book(record, counts, i, site.frontPort(), bookings); });
    sleepFor(2000);

    std::optional<int> end;
    auto runFor = [&](long time) {
        auto until = Clock::now() + milliseconds(time);
        while (!end && Clock::now() < until) {
            end = router.ended();
            sleepFor(10);
        }
    };
    for (int episode = 0; !end && millisecondsSinceStart() < duration - darkTime - lightTime; ++episode) {
        int chosen = episode % replicaCount;
        if (hasTrouble()) {
            record.line("%s goes dark", ledger[chosen]->name().c_str());
            ledger[chosen]->goDark();
        }
        runFor(expiryTime);
        if (hasTrouble() && !end) {
            record.line("the store removes the entry of %s", ledger[chosen]->name().c_str());
            store.remove("servers/" + ids[chosen]);
        }
        runFor(darkTime - expiryTime);
        if (hasTrouble() && !end) {
            ids[chosen] = "i-ledger-" + std::to_string(chosen) + "-" + std::to_string(episode + 1);
            ledger[chosen]->setId(ids[chosen]);
            ledger[chosen]->goLight();
            record.line("%s is back as %s", ledger[chosen]->name().c_str(), ids[chosen].c_str());
            store.put("servers/" + ids[chosen], serverEntry("ledger", ledger[chosen]->address(), 6, 2000 + episode));
        }
        runFor(lightTime);
    }
    if (end)
        record.line("the router ended by itself: %s", describeEnd(*end).c_str());
    counts.stop = true;
    if (!end)
        sleepFor(1500);
    else
        sleepFor(500);
    router.kill(SIGKILL);
    for (auto& client : clients)
        client.join();
    bool isBroken = end && counts.lost > 3;
    record.line("reservations sent %ld, answered %ld, left at the deadline %ld; bookings run and closed without an answer: %ld; router %s", counts.sent.load(), counts.answered.load(), counts.leftAtDeadline.load(), counts.lost.load(), end ? describeEnd(*end).c_str() : "ran to the end");
    finish(record, isBroken, site.folder);
}
