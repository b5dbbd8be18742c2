// Clients that don't keep to limits, beside ordinary ones, at one router with seven sound replicas. The first argument says
// what the hostile clients do:
//   trailers  300 requests whose chunked body ends with 15,500 short trailer fields, the last of them malformed
//   fields    48 connections send one request after the other, each with 2,000 short fields and 4,000 Connection tokens
//   buffers   2,000 connections send a chunk with a long extension, and the first 64 KB of a body
// Exits with 1 if the router exceeded its memory, ended, or left most of the ordinary requests without an answer.
#include "Standins.h"

#include <set>

using namespace review;

namespace {

constexpr int trafficSeconds = 12;
constexpr int troubleStart = 4;
constexpr int ordinaryDeadlineMs = 1500;
constexpr int answerSlackMs = 500;

const char* configuration = R"({"version":7,"routes":[
{"name":"booking","host":"ledger.example","prefix":"/book/","kind":"unsafe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"ledger","max_attempts":1,"public":false,"allowed_regions":[]},
{"name":"lookup","host":"ledger.example","prefix":"/stock/","kind":"safe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"ledger","max_attempts":2,"public":false,"allowed_regions":[]},
{"name":"draft","host":"pool.example","prefix":"/draft/","kind":"safe","timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"pool","max_attempts":2,"public":false,"allowed_regions":[]}],
"services":[{"name":"pool","health_check":"/healthz","max_connections":294,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},{"name":"ledger","health_check":"/healthz","max_connections":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"school","api_keys":["k-school"],"priority":1,"allowed_regions":[]},{"name":"choir","api_keys":["k-choir"],"priority":1,"allowed_regions":[]}]})";

// Outcomes of ordinary requests, by whether they were sent beside the hostile clients.
struct Outcomes {
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> unanswered { 0 };
    std::atomic<int> cut { 0 };
    // Of the cut ones, those that a replica was running.
    std::atomic<int> cutAtReplica { 0 };
};

Outcomes calm;
Outcomes troubled;
std::atomic<bool> isOver { false };
// Requests that are sent later may still be under way as the other clients begin.
double calmUntil = troubleStart;
std::atomic<int> runs { 0 };
std::mutex startedLock;
std::set<std::string> started;

bool hasStarted(const std::string& id)
{
    std::lock_guard guard(startedLock);
    return started.contains(id);
}

std::atomic<int> nextId { 0 };

std::string hex(int number)
{
    char text[20];
    std::snprintf(text, sizeof(text), "%016x", number);
    return text;
}

// One ordinary client: a booking or a lookup every 400 ms, on a connection that it keeps.
void runOrdinaryClient(int number, const RouterSettings& router, Record& record)
{
    Connection connection;
    while (!isOver && secondsSinceStart() < troubleStart + trafficSeconds) {
        auto id = hex(++nextId);
        auto& outcomes = secondsSinceStart() < calmUntil ? calm : troubled;
        bool isBooking = number % 2 == 0;
        auto line = isBooking ? std::string("POST /book/2f") : std::string("GET /stock/2f");
        auto body = isBooking ? std::string(600, 'o') : std::string();
        auto request = line + " HTTP/1.1\r\nHost: ledger.example\r\nApi-Key: k-school\r\nLavenderloft-Request-Id: " + id + "\r\nLavenderloft-Deadline-Ms: " + std::to_string(ordinaryDeadlineMs) + "\r\n" + (isBooking ? "Content-Length: 600\r\n" : "") + "\r\n" + body;
        auto sentAt = Clock::now();
        bool isSent = (connection.isOpen() && !connection.isReadable()) || connection.connectTo(router.ip, router.front);
        isSent = isSent && connection.send(request);
        ++outcomes.sent;
        auto answer = isSent ? connection.read(ordinaryDeadlineMs + answerSlackMs, true) : std::nullopt;
        auto elapsed = static_cast<int>(std::chrono::duration_cast<milliseconds>(Clock::now() - sentAt).count());
        if (answer && answer->isComplete) {
            ++(answer->status() == 200 ? outcomes.served : outcomes.refused);
            record.line("%s %s -> %d after %d ms", id.c_str(), line.c_str(), answer->status(), elapsed);
        } else {
            bool isCut = elapsed < ordinaryDeadlineMs;
            bool isRunning = hasStarted(id);
            ++(isCut ? outcomes.cut : outcomes.unanswered);
            outcomes.cutAtReplica += isCut && isRunning;
            record.line("%s %s -> %s after %d ms%s", id.c_str(), line.c_str(), isCut ? "no answer, connection refused or closed" : "no answer", elapsed, isRunning ? ", a replica was running it" : "");
            connection.close();
        }
        if (answer && strcasecmp(answer->headers.get("Connection").c_str(), "close") == 0)
            connection.close();
        sleepMs(std::max(0, 400 - elapsed));
    }
}

// Sends the bytes on each of many connections, as fast as the router reads them, and then waits.
class Crowd {
public:
    Crowd(const RouterSettings& router, size_t count, std::string bytes)
        : m_bytes(std::move(bytes))
    {
        for (size_t i = 0; i < count; ++i) {
            auto connection = std::make_unique<Connection>();
            if (!connection->connectTo(router.ip, router.front))
                continue;
            fcntl(connection->fd(), F_SETFL, O_NONBLOCK);
            m_connections.push_back(std::move(connection));
        }
        m_sent.resize(m_connections.size());
    }

    size_t size() const { return m_connections.size(); }

    void send()
    {
        for (size_t i = 0; i < m_connections.size(); ++i) {
            if (m_sent[i] >= m_bytes.size())
                continue;
            auto count = ::send(m_connections[i]->fd(), m_bytes.data() + m_sent[i], m_bytes.size() - m_sent[i], MSG_NOSIGNAL);
            if (count > 0)
                m_sent[i] += static_cast<size_t>(count);
        }
    }

    size_t bytesSent() const
    {
        size_t sum = 0;
        for (auto sent : m_sent)
            sum += sent;
        return sum;
    }

private:
    std::string m_bytes;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::vector<size_t> m_sent;
};

const std::string chunkedHead = "POST /book/2f HTTP/1.1\r\nHost: ledger.example\r\nTransfer-Encoding: chunked\r\n";

std::string chunk(size_t bytes, const std::string& extension = {})
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx", bytes);
    return size + extension + "\r\n" + std::string(bytes, 'b') + "\r\n";
}

std::string trailersRequest(bool isHostile)
{
    constexpr size_t fields = 15500;
    if (!isHostile)
        return chunkedHead + "\r\n" + chunk(4 * fields) + "0\r\n\r\n";
    auto request = chunkedHead + "\r\n" + chunk(1) + "0\r\n";
    for (size_t i = 0; i < fields; ++i)
        request += "a:\r\n";
    return request + "not a field\r\n\r\n";
}

// The last chunk stays incomplete, so that the router waits for the rest.
std::string buffersRequest(bool isHostile)
{
    constexpr size_t part = 64 * 1024;
    auto extension = isHostile ? ";e=" + std::string(64900, 'x') : std::string();
    std::string request = chunkedHead;
    for (int i = 0; isHostile && i < 100; ++i)
        request += "X-Field-" + std::to_string(i) + ": " + std::string(130, 'v') + "\r\n";
    auto body = chunk(isHostile ? part : 600, extension);
    return request + "\r\n" + (isHostile ? body.substr(0, body.size() - 3) : body + "0\r\n\r\n");
}

std::string fieldsRequest(bool isHostile, const std::string& id)
{
    auto request = "GET /draft/2f HTTP/1.1\r\nHost: pool.example\r\nApi-Key: k-choir\r\nLavenderloft-Request-Id: " + id + "\r\nLavenderloft-Deadline-Ms: 6000\r\n";
    if (!isHostile)
        return request + "X-Note: " + std::string(16000, 'n') + "\r\n\r\n";
    request += "Connection: a";
    for (int i = 1; i < 4000; ++i)
        request += ",a";
    request += "\r\n";
    for (int i = 0; i < 2000; ++i)
        request += "b:\r\n";
    return request + "\r\n";
}

std::atomic<int> hostileSent { 0 };
std::atomic<int> hostileAnswered { 0 };

// One request after the other, on a connection that it keeps.
void runFieldsClient(const RouterSettings& router, bool isHostile)
{
    Connection connection;
    while (!isOver && secondsSinceStart() < troubleStart + trafficSeconds) {
        if ((!connection.isOpen() || connection.isReadable()) && !connection.connectTo(router.ip, router.front)) {
            sleepMs(100);
            continue;
        }
        ++hostileSent;
        bool isSent = connection.send(fieldsRequest(isHostile, hex(++nextId)));
        auto answer = isSent ? connection.read(10000, true) : std::nullopt;
        hostileAnswered += answer.has_value();
        if (!answer || strcasecmp(answer->headers.get("Connection").c_str(), "close") == 0)
            connection.close();
        // Both kinds ask no more often than an answer takes to be read.
        sleepMs(isHostile ? 1 : 100);
    }
}

} // namespace

int main(int count, char** arguments)
{
    std::string mode = count > 1 ? arguments[1] : "";
    std::string recordPath = count > 2 ? arguments[2] : "record.txt";
    signal(SIGPIPE, SIG_IGN);
    bool isHostile = hasTrouble();
    // Where the router is expected to end, requests last longer, so that some are under way then.
    int workMs = mode == "fields" ? 30 : 350;
    calmUntil -= 2 * workMs / 1000.0;
    auto folder = temporaryFolder();
    Record record(recordPath);
    record.line("%s, trouble %s", mode.c_str(), isHostile ? "on" : "off");

    Store store("127.0.0.1");
    store.put("op/config", configuration);
    std::vector<std::unique_ptr<Server>> replicas;
    for (int i = 0; i < 7; ++i) {
        auto handle = [&](Message& request, Connection& connection) {
            ++runs;
            auto id = request.headers.get("Lavenderloft-Request-Id");
            {
                std::lock_guard guard(startedLock);
                started.insert(id);
            }
            sleepMs(workMs);
            return connection.send(response(200, "Lavenderloft-Request-Id: " + id + "\r\nLavenderloft-Response-Seal: s1\r\nKeep-Alive: timeout=10\r\n", std::string(800, 'r')));
        };
        replicas.push_back(std::make_unique<Server>("127.0.0.1", handle));
    }
    auto beat = [&](int sequence) {
        for (size_t i = 0; i < replicas.size(); ++i)
            store.put("servers/i-" + std::to_string(i), std::string("{\"service\":\"") + (i < 3 ? "ledger" : "pool") + "\",\"address\":\"" + replicas[i]->address() + "\",\"zone\":\"makedonia-a\",\"version\":\"v1\",\"slots\":" + (i < 3 ? "6" : "16") + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(sequence) + ",\"born\":1700000000000}");
    };
    beat(1);

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
    record.line("router ready, resident %ld KB, memory_mb %u", router.residentKb(), settings.memoryMb);

    std::vector<std::thread> clients;
    for (int i = 0; i < 12; ++i)
        clients.emplace_back([&, i] { sleepMs(i * 50); runOrdinaryClient(i, settings, record); });
    std::thread([&] {
        for (int sequence = 2;; ++sequence) {
            sleepMs(1200);
            beat(sequence);
        }
    }).detach();
    std::atomic<int> missedInRow { 0 };
    std::atomic<int> mostMissed { 0 };
    std::thread([&] {
        while (!isOver) {
            Connection probe;
            bool isReady = probe.connectTo(settings.ip, settings.ready, 1000) && probe.send("GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n");
            auto answer = isReady ? probe.read(1000, true) : std::nullopt;
            missedInRow = answer && answer->status() == 200 ? 0 : missedInRow + 1;
            mostMissed = std::max(mostMissed.load(), missedInRow.load());
            record.line("readiness: %d", answer ? answer->status() : 0);
            sleepMs(1000);
        }
    }).detach();

    while (secondsSinceStart() < troubleStart)
        sleepMs(10);
    record.line("the other clients begin; resident %ld KB", router.residentKb());
    std::unique_ptr<Crowd> crowd;
    if (mode == "trailers")
        crowd = std::make_unique<Crowd>(settings, 300, trailersRequest(isHostile));
    else if (mode == "buffers")
        crowd = std::make_unique<Crowd>(settings, 2000, buffersRequest(isHostile));
    else {
        for (int i = 0; i < 48; ++i)
            clients.emplace_back([&] { runFieldsClient(settings, isHostile); });
    }
    if (crowd)
        record.line("%zu connections, %zu bytes each", crowd->size(), mode == "trailers" ? trailersRequest(isHostile).size() : buffersRequest(isHostile).size());

    long peak = 0;
    bool isExceeded = false;
    bool hasEnded = false;
    auto nextLine = Clock::now();
    while (secondsSinceStart() < troubleStart + trafficSeconds + 2.5) {
        if (crowd)
            crowd->send();
        auto resident = router.residentKb();
        peak = std::max(peak, resident);
        if (Clock::now() >= nextLine) {
            record.line("resident %ld KB, %zu bytes sent by the others", resident, crowd ? crowd->bytesSent() : 0);
            nextLine = Clock::now() + milliseconds(500);
        }
        if (router.ended()) {
            hasEnded = true;
            record.line("the router ended, status %d", *router.ended());
            break;
        }
        if (resident > static_cast<long>(settings.memoryMb) * 1024) {
            isExceeded = true;
            record.line("resident %ld KB exceed memory_mb: the platform kills the router", resident);
            router.end();
            sleepMs(600);
            break;
        }
        sleepMs(5);
    }
    isOver = true;
    for (auto& client : clients)
        client.join();
    auto describe = [&](const char* name, const Outcomes& outcomes) {
        record.line("%s: %d sent, %d served, %d refused, %d without an answer in time, %d cut (%d of them while a replica ran them)", name, outcomes.sent.load(), outcomes.served.load(), outcomes.refused.load(), outcomes.unanswered.load(), outcomes.cut.load(), outcomes.cutAtReplica.load());
    };
    describe("ordinary requests before", calm);
    describe("ordinary requests beside the others", troubled);
    record.line("others: %d requests, %d answered; replicas ran %d; peak resident %ld KB; readiness missed %d times in a row", hostileSent.load(), hostileAnswered.load(), runs.load(), peak, mostMissed.load());
    // The platform keeps a process out of rotation after two misses; here most requests must lack any answer.
    bool isHung = mode == "fields" && 2 * (troubled.unanswered + troubled.cut) > troubled.sent;
    bool isSound = calm.served > 0 && calm.unanswered + calm.cut == 0;
    int result = !isSound ? 2 : isExceeded || hasEnded || isHung ? 1
                                                                 : 0;
    record.line("result %d", result);
    router.end();
    _exit(result);
}
