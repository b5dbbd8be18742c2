#pragma once

#include "Http/HttpServer.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Testing {

// A model engine that accepts weights in order, responds with its digest and can inject faults.
class FakeEngine final : public Http::HttpHandler {
public:
    // The function is called on each status poll.
    explicit FakeEngine(std::function<void()> onStatus)
        : m_onStatus(std::move(onStatus))
    {
    }

    void handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseStream> stream) override
    {
        if (request.target == "/engine/status")
            m_onStatus();
        std::unique_lock guard(m_lock);
        if (request.target == "/engine/status")
            return respondStatus(guard, *stream);
        if (request.target == "/engine/orders")
            return applyOrder(request, *stream);
        if (request.method == "PUT")
            return upload(request, *stream);
        generate(guard, request, stream);
    }

    // Restarts the engine without weights and aborts running requests.
    void restart()
    {
        std::lock_guard guard(m_lock);
        ++m_incarnation;
        m_digest.clear();
        m_adapters.clear();
        m_uploads.clear();
        m_changed.notify_all();
    }

    // Responds with a digest other than the one in the status, like an engine whose weights changed between two polls.
    void respondWithDigest(const std::string& digest)
    {
        std::lock_guard guard(m_lock);
        m_responseDigest = digest;
    }

    // Responds with an adapter other than the one in the request.
    void respondWithAdapter(const std::string& digest)
    {
        std::lock_guard guard(m_lock);
        m_responseAdapter = digest;
    }

    // Blocks responses to requests while held.
    void hold(bool isHeld)
    {
        std::lock_guard guard(m_lock);
        m_isHeld = isHeld;
        m_changed.notify_all();
    }

    // Blocks responses to status polls while held.
    void holdStatus(bool isHeld)
    {
        std::lock_guard guard(m_lock);
        m_isStatusHeld = isHeld;
        m_changed.notify_all();
    }

    // Keeps the next load order back and closes its connection without a response.
    void delayNextLoad()
    {
        std::lock_guard guard(m_lock);
        m_isNextLoadDelayed = true;
    }

    void waitForDelayedLoad()
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return m_delayedLoad.has_value(); });
    }

    // Delivers the load order that was kept back; returns whether the engine accepts it.
    bool deliverDelayedLoad()
    {
        std::lock_guard guard(m_lock);
        if (!acceptFence(m_delayedLoad->fence))
            return false;
        m_digest = m_delayedLoad->digest;
        return true;
    }

    void waitForRequests(unsigned count)
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return m_requests >= count; });
    }

    void waitForNoAdapter()
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return m_adapters.empty(); });
    }

    std::set<std::string> adapters() const
    {
        std::lock_guard guard(m_lock);
        return m_adapters;
    }

    unsigned requests() const
    {
        std::lock_guard guard(m_lock);
        return m_requests;
    }

    std::vector<std::string> uploads() const
    {
        std::lock_guard guard(m_lock);
        return m_uploads;
    }

private:
    struct LoadOrder {
        uint64_t fence = 0;
        std::string digest;
    };

    void respondStatus(std::unique_lock<std::mutex>& guard, Http::ResponseStream& stream)
    {
        m_changed.wait(guard, [&] { return !m_isStatusHeld; });
        stream.respond({ 200, {}, status().dump() });
    }

    nlohmann::json status() const
    {
        return { { "incarnation", "engine-" + std::to_string(m_incarnation) }, { "state", m_digest.empty() ? "empty" : "ready" }, { "digest", m_digest }, { "adapters", m_adapters },
            { "running", m_running }, { "queued", 0 }, { "memoryBytes", 0 }, { "memoryLimitBytes", 1000000 }, { "highestFence", m_fence }, { "checksFence", true } };
    }

    bool acceptFence(uint64_t fence)
    {
        if (fence <= m_fence)
            return false;
        m_fence = fence;
        return true;
    }

    void upload(const Http::HttpRequest& request, Http::ResponseStream& stream)
    {
        if (!acceptFence(std::stoull(std::string(Http::headerValue(request.headers, "X-Fence")))))
            return stream.respond({ 409, {}, "old fence" });
        m_uploads.push_back(request.target.substr(request.target.rfind('/') + 1) + "=" + request.body);
        stream.respond({ 204, {}, "" });
    }

    void applyOrder(const Http::HttpRequest& request, Http::ResponseStream& stream)
    {
        auto order = nlohmann::json::parse(request.body);
        if (m_isNextLoadDelayed && order.at("order") == "load") {
            m_isNextLoadDelayed = false;
            m_delayedLoad = LoadOrder { order.at("fence"), order.at("digest") };
            m_changed.notify_all();
            return stream.abort();
        }
        if (!acceptFence(order.at("fence")))
            return stream.respond({ 409, {}, "old fence" });
        std::string digest = order.at("digest");
        if (order.at("order") == "loadAdapter")
            m_adapters.insert(digest);
        else if (order.at("order") == "unloadAdapter")
            m_adapters.erase(digest);
        else
            m_digest = digest;
        m_changed.notify_all();
        stream.respond({ 202, {}, "" });
    }

    void generate(std::unique_lock<std::mutex>& guard, const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        ++m_requests;
        ++m_running;
        m_changed.notify_all();
        auto incarnation = m_incarnation;
        m_changed.wait(guard, [&] { return !m_isHeld || m_incarnation != incarnation; });
        --m_running;
        if (m_incarnation != incarnation)
            return stream->abort();
        if (m_digest.empty())
            return stream->respond({ 503, {}, "no weights" });
        auto digest = m_responseDigest.empty() ? m_digest : m_responseDigest;
        auto adapter = m_responseAdapter.empty() ? std::string(Http::headerValue(request.headers, "X-Adapter")) : m_responseAdapter;
        stream->respond({ 200, { { "X-Weights-Digest", digest }, { "X-Adapter-Digest", adapter } }, request.body + "\n[DONE]\n" });
    }

    const std::function<void()> m_onStatus;
    mutable std::mutex m_lock;
    std::condition_variable m_changed;
    unsigned m_incarnation = 1;
    std::string m_digest;
    std::string m_responseDigest;
    std::set<std::string> m_adapters;
    std::string m_responseAdapter;
    uint64_t m_fence = 0;
    unsigned m_running = 0;
    unsigned m_requests = 0;
    bool m_isHeld = false;
    bool m_isNextLoadDelayed = false;
    std::optional<LoadOrder> m_delayedLoad;
    bool m_isStatusHeld = false;
    std::vector<std::string> m_uploads;
};

} // namespace Lavenderloft::Testing
