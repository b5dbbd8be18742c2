#pragma once

#include "Soak/RequestLedger.h"
#include "Soak/SoakRecord.h"
#include "Soak/SoakStore.h"
#include "Soak/SoakTarget.h"
#include "Soak/SoakWeights.h"

#include <array>
#include <map>

namespace Lavenderloft::Soak {

// A model engine. It loads the pieces that are stored when it accepts a load order, and does not check them. A request that
// it runs on layers that were not whole then is recorded as a violation.
class SoakEngine {
public:
    SoakEngine(asio::io_context& context, SoakStore& store, RequestLedger& ledger, SoakRecord& record, unsigned index, const std::string& ip, unsigned seed)
        : m_context(context)
        , m_store(store)
        , m_ledger(ledger)
        , m_record(record)
        , m_id("e-" + std::to_string(index))
        , m_ip(ip)
        , m_random(seed)
        , m_server(Http::NodeServer::start(context, { "127.0.0.1", 0 }, [this](Http::HttpRequest request) { return respond(std::move(request)); }))
        , m_link(context, m_server->port(), ip)
        , m_held(Layers { 0, SoakWeights::layerCount, 1 })
    {
        for (unsigned i = 0; i < SoakWeights::pieceCount; ++i)
            m_stored[i].bytes = SoakWeights::pieceOf(1, i);
        publish();
    }

    std::string address() const { return m_ip + ":" + std::to_string(m_link.port()); }

    // While true, load orders and stores of pieces take effect seconds after they arrived.
    bool holdsOrders = false;
    bool holdsStores = false;

    // A stored piece turns bad.
    void spoilPiece()
    {
        auto found = m_stored.find(static_cast<unsigned>(m_random() % SoakWeights::pieceCount));
        if (found == m_stored.end() || found->second.badSince)
            return;
        found->second.badSince = SteadyClock::now();
        write("piece " + std::to_string(found->first) + " turns bad");
    }

    // All connections end, and what was held back takes no effect any more. Stored pieces survive a crash, but not a loss of
    // power.
    void restart()
    {
        bool losesPieces = m_random() % 2;
        if (losesPieces)
            m_stored.clear();
        m_held.reset();
        m_problems = {};
        m_accepted = 0;
        m_isBusy = false;
        m_isPaused = false;
        m_running = 0;
        ++m_start;
        write(losesPieces ? "restarts without pieces" : "restarts with its pieces");
        m_link.resetConnections();
        publish();
    }

    // Whether all layers of the version were loaded from whole pieces.
    bool isSound(uint64_t version) const { return m_held == Layers { 0, SoakWeights::layerCount, version } && findProblem().empty(); }

    // Requests that the engine began to run, and loads of layers that were not whole.
    unsigned requestsRun = 0;
    unsigned unsoundLoads = 0;

    std::string describe() const { return m_id + " holds " + describeLayers().dump() + findProblem(); }

private:
    struct Layers {
        unsigned from = 0;
        unsigned to = 0;
        uint64_t version = 0;

        bool contains(unsigned layer) const { return from <= layer && layer < to; }
        bool contains(const Layers& other) const { return from <= other.from && other.to <= to && version == other.version; }
        bool operator==(const Layers&) const = default;
    };

    struct StoredPiece {
        std::string bytes;
        std::optional<SteadyClock::time_point> badSince;
    };

    // For each layer that was not whole when it was loaded, why; empty for the others.
    using Problems = std::array<std::string, SoakWeights::layerCount>;

    static constexpr std::chrono::milliseconds loadTime { 300 };
    // A piece that turned bad within this time before a load is excused.
    static constexpr std::chrono::milliseconds excusedTime { 3000 };
    static constexpr std::chrono::milliseconds minimumHold { 2000 };
    static constexpr unsigned holdSpread = 5000;

    void write(const std::string& text) { m_record.write(m_id + " " + text); }

    nlohmann::json describeLayers() const
    {
        return m_held ? nlohmann::json { { "from", m_held->from }, { "to", m_held->to }, { "version", m_held->version } } : nlohmann::json();
    }

    nlohmann::json describeModels() const
    {
        auto models = nlohmann::json::array();
        if (m_held)
            models.push_back({ { "name", SoakWeights::model }, { "version", m_held->version }, { "adapters", nlohmann::json::array() } });
        return models;
    }

    void publish()
    {
        nlohmann::json entry { { "service", "pool" }, { "address", address() }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", 16 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
            { "sequence", 1 }, { "born", m_start }, { "stage", "hybrid" }, { "models", describeModels() } };
        if (m_held)
            entry["layers"] = describeLayers();
        m_store.put("servers/" + m_id, entry.dump());
    }

    std::string report() const
    {
        nlohmann::json report { { "busy", m_isBusy }, { "sequence", m_accepted }, { "queued", 0 }, { "active", m_running }, { "kv_used", 0 }, { "kv_total", 1640000 }, { "handles", 0 },
            { "pace", 1.0 }, { "born", m_start }, { "stage", "hybrid" }, { "models", describeModels() } };
        if (m_held)
            report["layers"] = describeLayers();
        return report.dump();
    }

    std::string findProblem() const
    {
        for (unsigned layer = 0; layer < SoakWeights::layerCount; ++layer) {
            if (m_held && m_held->contains(layer) && !m_problems[layer].empty())
                return ", layer " + std::to_string(layer) + " " + m_problems[layer];
        }
        return {};
    }

    // What is wrong with the stored pieces of a layer; empty if they are whole.
    std::string findProblem(unsigned layer, uint64_t version) const
    {
        for (unsigned i = layer * SoakWeights::piecesPerLayer; i < (layer + 1) * SoakWeights::piecesPerLayer; ++i) {
            auto name = "loaded as version " + std::to_string(version) + " with piece " + std::to_string(i);
            auto found = m_stored.find(i);
            if (found == m_stored.end())
                return name + " missing";
            if (found->second.bytes != SoakWeights::pieceOf(version, i))
                return name + " of another version";
            auto& badSince = found->second.badSince;
            if (badSince && SteadyClock::now() - *badSince > excusedTime)
                return name + " bad";
        }
        return {};
    }

    unsigned takeOrder(const nlohmann::json& order)
    {
        Layers layers { order.value("from", 0U), order.value("to", SoakWeights::layerCount), order.at("version").get<uint64_t>() };
        if (m_isBusy || order.value("expected", m_accepted) != m_accepted)
            return 409;
        if (m_held == layers)
            return 200;
        ++m_accepted;
        Problems problems;
        bool keeps = m_held && m_held->version == layers.version;
        for (unsigned layer = layers.from; layer < layers.to; ++layer)
            problems[layer] = keeps && m_held->contains(layer) ? m_problems[layer] : findProblem(layer, layers.version);
        if (keeps && m_held->contains(layers)) {
            hold(layers, problems);
            return 202;
        }
        m_isBusy = true;
        m_isPaused = !keeps || !layers.contains(*m_held);
        asio::co_spawn(m_context, load(layers, problems), asio::detached);
        return 202;
    }

    // Layers of another version, or instead of the held ones, are loaded after what is running.
    asio::awaitable<void> load(Layers layers, Problems problems)
    {
        auto start = m_start;
        while (m_isPaused && m_running > 0 && start == m_start)
            co_await pause(std::chrono::milliseconds(5));
        co_await pause(loadTime * (layers.to - layers.from) / SoakWeights::layerCount);
        if (start != m_start)
            co_return;
        m_isBusy = false;
        m_isPaused = false;
        hold(layers, problems);
    }

    void hold(const Layers& layers, const Problems& problems)
    {
        m_held = layers;
        m_problems = problems;
        unsoundLoads += findProblem().empty() ? 0 : 1;
        write("now holds " + describeLayers().dump() + findProblem());
        publish();
    }

    // Returns false if the engine restarted meanwhile.
    asio::awaitable<bool> holdBack(bool isHeld, const std::string& what)
    {
        if (!isHeld)
            co_return true;
        auto start = m_start;
        auto duration = minimumHold + std::chrono::milliseconds(m_random() % holdSpread);
        write("holds back " + what + " for " + std::to_string(duration.count()) + " ms");
        co_await pause(duration);
        co_return start == m_start;
    }

    asio::awaitable<Http::HttpResponse> respond(Http::HttpRequest request)
    {
        Http::HttpResponse response { 200, {}, "" };
        if (request.target == "/api/report")
            response.body = report();
        else if (request.target == "/api/order")
            co_await respondToOrder(request.body, response);
        else if (request.target.starts_with("/api/stage-put/"))
            co_await storePiece(request);
        else if (request.target.starts_with("/api/stage-get/"))
            response = readPiece(static_cast<unsigned>(numberIn(request.target, "sample_count")));
        else
            co_await runRequest(request, response);
        co_return response;
    }

    asio::awaitable<void> respondToOrder(const std::string& body, Http::HttpResponse& response)
    {
        auto what = "the order " + body;
        bool isAlive = co_await holdBack(holdsOrders, what);
        response.status = isAlive ? takeOrder(nlohmann::json::parse(body)) : 503;
        write("answers " + std::to_string(response.status) + " to " + what);
    }

    asio::awaitable<void> storePiece(Http::HttpRequest& request)
    {
        auto index = static_cast<unsigned>(numberIn(request.target, "sample_count"));
        // A few, so that the others of the same version are stored meanwhile.
        bool isHeld = holdsStores && m_random() % 4 == 0;
        auto what = "the store of piece " + std::to_string(index);
        bool isAlive = co_await holdBack(isHeld, what);
        if (isAlive)
            m_stored[index] = { std::move(request.body), std::nullopt };
        if (isAlive && isHeld)
            write("completes " + what);
    }

    Http::HttpResponse readPiece(unsigned index) const
    {
        auto found = m_stored.find(index);
        if (found == m_stored.end())
            return { 404, {}, "" };
        auto bytes = found->second.bytes;
        if (found->second.badSince)
            bytes[0] = static_cast<char>(bytes[0] ^ 1);
        return { 200, { { "Content-Type", "application/octet-stream" } }, std::move(bytes) };
    }

    asio::awaitable<void> runRequest(const Http::HttpRequest& request, Http::HttpResponse& response)
    {
        auto id = std::string(Http::headerValue(request.headers, "Lavenderloft-Request-Id"));
        auto version = Http::headerValue(request.headers, "Lavenderloft-Expect-Version");
        response.status = 421;
        response.headers.push_back({ "Lavenderloft-Request-Id", id });
        bool isIntended = Http::headerValue(request.headers, "Lavenderloft-Expect-Instance") == m_id;
        bool holdsAll = m_held && m_held->contains(Layers { 0, SoakWeights::layerCount, m_held->version });
        if (!isIntended || (!version.empty() && (!holdsAll || version != std::to_string(m_held->version))))
            co_return;
        if (!holdsAll || m_isPaused) {
            response.status = 503;
            response.headers.push_back({ "Lavenderloft-Not-Executed", "1" });
            co_return;
        }
        recordRun(id, request.body);
        auto start = m_start;
        ++m_running;
        response.headers.push_back({ "Lavenderloft-Weight-Versions", std::to_string(m_held->version) });
        co_await pause(std::chrono::milliseconds(50 + m_random() % 150));
        if (start == m_start)
            --m_running;
        response.status = 200;
        response.headers.push_back({ "Lavenderloft-Response-Seal", "seal." + id });
        response.headers.push_back({ "Content-Type", "text/event-stream" });
        auto lastEvent = std::string(Http::headerValue(request.headers, "Last-Event-Id"));
        for (unsigned next = lastEvent.empty() ? 1 : static_cast<unsigned>(std::stoul(lastEvent)) + 1; next <= streamEvents; ++next)
            response.body += eventOf(id, next);
    }

    void recordRun(const std::string& id, const std::string& body)
    {
        ++requestsRun;
        m_ledger.recordRun(id, body);
        auto problem = findProblem();
        if (problem.empty())
            return;
        write("runs " + id + problem);
        if (m_reported != m_accepted + 1000 * m_start)
            m_ledger.addViolation("WHOLE", m_id + " ran " + id + problem);
        m_reported = m_accepted + 1000 * m_start;
    }

    asio::io_context& m_context;
    SoakStore& m_store;
    RequestLedger& m_ledger;
    SoakRecord& m_record;
    // Id under which the engine is published.
    std::string m_id;
    std::string m_ip;
    std::mt19937 m_random;
    std::shared_ptr<Http::NodeServer> m_server;
    FaultyLink m_link;
    std::map<unsigned, StoredPiece> m_stored;
    std::optional<Layers> m_held;
    Problems m_problems;
    uint64_t m_accepted = 0;
    uint64_t m_start = 1000;
    // Load of which a violation was reported, so that each one is reported once.
    uint64_t m_reported = 0;
    unsigned m_running = 0;
    bool m_isBusy = false;
    // Requests are rejected until the load is complete.
    bool m_isPaused = false;
};

} // namespace Lavenderloft::Soak
