#pragma once

#include "Http/NodeServer.h"
#include "Soak/FaultyLink.h"
#include "Soak/QueryNumber.h"

#include <boost/beast/core/detail/base64.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

namespace Lavenderloft::Soak {

// The platform's store, which can only be read. It may be slow, reject requests or be silent, or return from an older copy.
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
    // Requests that arrive or wait meanwhile are never answered, also not afterwards.
    bool isSilent = false;
    std::chrono::milliseconds responseTime { 2 };

    void put(const std::string& key, const std::string& value) { write(key, { 0, value, false }); }
    void remove(const std::string& key) { write(key, { 0, {}, true }); }

    // What was written after the copy, in the order of writing.
    struct LostWrite {
        std::string key;
        std::string value;
        bool deleted;
    };

    // The store is as it was that long ago, in the next era. Its revisions are given out again.
    std::vector<LostWrite> returnFromCopy(std::chrono::milliseconds age)
    {
        auto copiedAt = std::chrono::steady_clock::now() - age;
        std::vector<LostWrite> lost;
        std::vector<Write> kept;
        for (auto& write : std::exchange(m_writes, {})) {
            if (write.time > copiedAt)
                lost.push_back({ write.key, write.item.value, write.item.deleted });
            else
                kept.push_back(std::move(write));
        }
        m_items.clear();
        m_revision = initialRevision;
        for (auto& write : kept) {
            m_items[write.key] = write.item;
            m_revision = write.item.revision;
        }
        m_writes = std::move(kept);
        ++m_era;
        return lost;
    }

    // Writes what was lost again, unless the key was written since the return.
    void writeAgain(const std::vector<LostWrite>& lost)
    {
        std::set<std::string> newer;
        for (auto& write : m_writes) {
            if (write.era == m_era)
                newer.insert(write.key);
        }
        for (auto& write : lost) {
            if (!newer.contains(write.key))
                this->write(write.key, { 0, write.value, write.deleted });
        }
    }

    uint64_t era() const { return m_era; }

private:
    struct Item {
        uint64_t revision = 0;
        std::string value;
        bool deleted = false;
    };

    struct Write {
        std::chrono::steady_clock::time_point time;
        uint64_t era = 0;
        std::string key;
        Item item;
    };

    static constexpr uint64_t initialRevision = 100;

    void write(const std::string& key, Item item)
    {
        item.revision = ++m_revision;
        m_writes.push_back({ std::chrono::steady_clock::now(), m_era, key, item });
        m_items[key] = std::move(item);
    }

    Http::HttpResponse respondWith(unsigned status, std::string body) const
    {
        Http::HttpResponse response { status, { { "Content-Type", "application/json" } }, std::move(body) };
        if (m_era > 0)
            response.headers.push_back({ "Store-Era", std::to_string(m_era) });
        return response;
    }

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

    // Longer than any test.
    static asio::awaitable<void> hang() { co_await pause(std::chrono::hours(1)); }

    asio::awaitable<Http::HttpResponse> respond(Http::HttpRequest request)
    {
        if (isSilent)
            co_await hang();
        if (isRejecting)
            co_return respondWith(503, "");
        bool isWatch = request.target.starts_with("/api/kv-watch");
        auto after = isWatch ? numberIn(request.target, "after") : 0;
        auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(isWatch ? numberIn(request.target, "wait_ms") : 0);
        auto era = m_era;
        while (isWatch && m_revision <= after && m_era == era && std::chrono::steady_clock::now() < until && !isRejecting && !isSilent)
            co_await pause(std::chrono::milliseconds(5));
        if (isSilent)
            co_await hang();
        if (isRejecting)
            co_return respondWith(503, "");
        // The response to a request before the return is late then, with the era in which it was made.
        bool isUnknownRevision = isWatch && after > m_revision;
        auto response = isUnknownRevision ? respondWith(410, "") : respondWith(200, isWatch ? changesAfter(after) : listing());
        co_await pause(responseTime);
        co_return response;
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
    std::vector<Write> m_writes;
    uint64_t m_revision = initialRevision;
    // Zero until the first return: a store that never returned does not send the header.
    uint64_t m_era = 0;
    std::shared_ptr<Http::NodeServer> m_server;
    FaultyLink m_link;
};

} // namespace Lavenderloft::Soak
