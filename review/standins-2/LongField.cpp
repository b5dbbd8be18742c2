// One client sends a head inside the configuration's max_header_bytes (128 KiB) that holds one field of 70,000 bytes; without
// the trouble it sends the same bytes in two fields. Beside it, ordinary callers with requests of 600 ms at three sound
// replicas. Exits with 1 if the router ended by itself, or closed more than three requests that a replica was running.
#include "Standins.h"

#include <set>

using namespace review;

namespace {

constexpr int ordinaryClients = 12;
constexpr int trafficSeconds = 12;
constexpr int workMs = 600;

const char* configuration = R"({"version":7,"routes":[
{"name":"booking","host":"ledger.example","prefix":"/book/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"ledger","max_attempts":1,"public":false,"allowed_regions":[]}],
"services":[{"name":"ledger","health_check":"/healthz","max_connections":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":131072,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"school","api_keys":["k-school"],"priority":1,"allowed_regions":[]}]})";

std::atomic<bool> isOver { false };
std::atomic<int> nextId { 0 };
std::mutex startedLock;
std::set<std::string> started;
std::atomic<int> sent { 0 };
std::atomic<int> served { 0 };
std::atomic<int> lost { 0 };
std::atomic<int> other { 0 };

std::string newId()
{
    char text[20];
    std::snprintf(text, sizeof(text), "%016x", ++nextId);
    return text;
}

std::string requestOf(const std::string& id, const std::string& fields)
{
    return "POST /book/2f HTTP/1.1\r\nHost: ledger.example\r\nApi-Key: k-school\r\nLavenderloft-Request-Id: " + id + "\r\nLavenderloft-Deadline-Ms: 3000\r\n" + fields + "Content-Length: 1\r\n\r\nb";
}

void runOrdinaryClient(const RouterSettings& router, Record& record)
{
    Connection connection;
    while (!isOver && secondsSinceStart() < trafficSeconds) {
        if ((!connection.isOpen() || connection.isReadable()) && !connection.connectTo(router.ip, router.front)) {
            sleepMs(100);
            continue;
        }
        auto id = newId();
        ++sent;
        bool isSent = connection.send(requestOf(id, ""));
        auto answer = isSent ? connection.read(4000, true) : std::nullopt;
        bool isRunning = false;
        {
            std::lock_guard guard(startedLock);
            isRunning = started.contains(id);
        }
        if (answer && answer->isComplete) {
            ++(answer->status() == 200 ? served : other);
            record.line("%s -> %d", id.c_str(), answer->status());
        } else {
            ++(isRunning ? lost : other);
            record.line("%s -> closed without an answer, %s", id.c_str(), isRunning ? "a replica was running it" : "not passed on");
            connection.close();
        }
        sleepMs(20);
    }
}

} // namespace

int main(int count, char** arguments)
{
    signal(SIGPIPE, SIG_IGN);
    bool isLong = hasTrouble();
    auto folder = temporaryFolder();
    Record record(count > 1 ? arguments[1] : "record.txt");
    record.line("trouble %s", isLong ? "on: one field of 70,000 bytes" : "off: two fields of 35,000 bytes");

    Store store("127.0.0.1");
    store.put("op/config", configuration);
    std::vector<std::unique_ptr<Server>> replicas;
    for (int i = 0; i < 3; ++i) {
        auto handle = [&](Message& request, Connection& connection) {
            auto id = request.headers.get("Lavenderloft-Request-Id");
            {
                std::lock_guard guard(startedLock);
                started.insert(id);
            }
            record.line("%s runs at a replica", id.c_str());
            sleepMs(workMs);
            return connection.send(response(200, "Lavenderloft-Request-Id: " + id + "\r\nLavenderloft-Response-Seal: s1\r\nKeep-Alive: timeout=10\r\n", std::string(800, 'r')));
        };
        replicas.push_back(std::make_unique<Server>("127.0.0.1", handle));
    }
    auto beat = [&](int sequence) {
        for (size_t i = 0; i < replicas.size(); ++i)
            store.put("servers/i-" + std::to_string(i), "{\"service\":\"ledger\",\"address\":\"" + replicas[i]->address() + "\",\"zone\":\"makedonia-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(sequence) + ",\"born\":1700000000000}");
    };
    beat(1);
    std::thread([&] {
        for (int sequence = 2;; ++sequence) {
            sleepMs(1200);
            beat(sequence);
        }
    }).detach();

    RouterSettings settings;
    settings.ip = "127.0.0.1";
    settings.store = store.address();
    settings.front = freePort(settings.ip);
    settings.ready = freePort(settings.ip);
    settings.control = freePort(settings.ip);
    settings.firstPort = freePort(settings.ip);
    settings.seeds = { settings.ip + ":" + std::to_string(settings.control) };
    Program router("router", "node-router", settings.yaml(), folder);
    if (!waitUntilReady(settings.ip, settings.ready)) {
        record.line("the router did not become ready");
        router.end();
        _exit(2);
    }

    std::vector<std::thread> clients;
    for (int i = 0; i < ordinaryClients; ++i)
        clients.emplace_back([&] { runOrdinaryClient(settings, record); });
    int ends = 0;
    double nextLongAt = 3;
    while (secondsSinceStart() < trafficSeconds + 1) {
        if (secondsSinceStart() >= nextLongAt && secondsSinceStart() < trafficSeconds) {
            nextLongAt += 4;
            auto id = newId();
            auto half = std::string(35000, 'n');
            auto fields = isLong ? "X-Note: " + half + half + "\r\n" : "X-Note: " + half + "\r\nX-More: " + half + "\r\n";
            Connection connection;
            bool isSent = connection.connectTo(settings.ip, settings.front) && connection.send(requestOf(id, fields));
            auto answer = isSent ? connection.read(3500, true) : std::nullopt;
            record.line("%s with the long head -> %d", id.c_str(), answer ? answer->status() : 0);
        }
        if (auto status = router.ended()) {
            ++ends;
            record.line("the router ended by itself, status %d (signal %d)", *status, WIFSIGNALED(*status) ? WTERMSIG(*status) : 0);
            // As the platform does.
            sleepMs(1000);
            router.start();
            record.line("the router is started again");
        }
        sleepMs(20);
    }
    isOver = true;
    for (auto& client : clients)
        client.join();
    record.line("ordinary requests: %d sent, %d served, %d closed without an answer while a replica ran them, %d other", sent.load(), served.load(), lost.load(), other.load());
    record.line("the router ended %d times", ends);
    int result = served == 0 ? 2 : ends > 0 || lost > 3 ? 1
                                                        : 0;
    record.line("result %d", result);
    router.end();
    _exit(result);
}
