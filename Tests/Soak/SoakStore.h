#pragma once

#include "Http/NodeServer.h"
#include "Soak/FaultyLink.h"
#include "Soak/QueryNumber.h"

#include <boost/beast/core/detail/base64.hpp>
#include <map>
#include <nlohmann/json.hpp>

namespace Lavenderloft::Soak {

// The platform's store, which can only be read. It may be slow, reject requests or be silent.
class SoakStore {
public:
    explicit SoakStore(asio::io_context& context)
        : m_server(Http::NodeServer::start(context, { "127.0.0.1", 0 }, [this](Http::HttpRequest request) { return respond(std::move(request)); }))
        , m_link(context, m_server->port())
    {
    }

    FaultyLink& link() { return m_link; }
    const FaultyLink& link() const { return m_link; }
    bool isRejecting = false;
    std::chrono::milliseconds responseTime { 2 };

    void put(const std::string& key, const std::string& value) { m_items[key] = { ++m_revision, value, false }; }
    void remove(const std::string& key) { m_items[key] = { ++m_revision, {}, true }; }

private:
    struct Item {
        uint64_t revision = 0;
        std::string value;
        bool deleted = false;
    };

    static std::string encodeBase64(const std::string& bytes)
    {
        namespace base64 = boost::beast::detail::base64;
        std::string text(base64::encoded_size(bytes.size()), '\0');
        text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
        return text;
    }

    static nlohmann::json describe(const std::string& key, const Item& item)
    {
        if (item.deleted)
            return { { "key", key }, { "revision", item.revision }, { "deleted", true } };
        return { { "key", key }, { "revision", item.revision }, { "create_revision", item.revision }, { "lease", 0 }, { "value", encodeBase64(item.value) } };
    }

    asio::awaitable<Http::HttpResponse> respond(Http::HttpRequest request)
    {
        auto rejected = Http::HttpResponse { 503, {}, "" };
        if (isRejecting)
            co_return rejected;
        bool isWatch = request.target.starts_with("/api/kv-watch");
        auto after = isWatch ? numberIn(request.target, "after") : 0;
        auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(isWatch ? numberIn(request.target, "wait_ms") : 0);
        while (isWatch && m_revision <= after && std::chrono::steady_clock::now() < until && !isRejecting)
            co_await pause(std::chrono::milliseconds(5));
        if (isRejecting)
            co_return rejected;
        auto body = isWatch ? changesAfter(after) : listing();
        co_await pause(responseTime);
        co_return Http::HttpResponse { 200, { { "Content-Type", "application/json" } }, body };
    }

    std::string listing() const
    {
        auto items = nlohmann::json::array();
        for (auto& [key, item] : m_items) {
            if (!item.deleted)
                items.push_back(describe(key, item));
        }
        return nlohmann::json { { "items", items }, { "more_pages", false }, { "as_of", m_revision } }.dump();
    }

    std::string changesAfter(uint64_t revision) const
    {
        std::map<uint64_t, nlohmann::json> events;
        for (auto& [key, item] : m_items) {
            if (item.revision > revision)
                events[item.revision] = describe(key, item);
        }
        auto list = nlohmann::json::array();
        for (auto& event : events)
            list.push_back(event.second);
        return nlohmann::json { { "events", list }, { "as_of", m_revision } }.dump();
    }

    std::map<std::string, Item> m_items;
    uint64_t m_revision = 100;
    std::shared_ptr<Http::NodeServer> m_server;
    FaultyLink m_link;
};

} // namespace Lavenderloft::Soak
