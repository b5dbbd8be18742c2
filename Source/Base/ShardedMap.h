#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Lavenderloft::Base {

// A hash map divided into shards, each with its own lock. Callbacks run while a shard is locked and
// must not access the same map.
template <typename Key, typename Value, size_t shardCount = 16, typename Hash = std::hash<Key>>
class ShardedMap {
public:
    using Entries = std::unordered_map<Key, Value, Hash>;

    // Calls the function with all entries of the key's shard, for atomic read-modify-write operations
    // on one entry.
    template <typename Function>
    auto withShard(const Key& key, Function&& function)
    {
        auto& shard = shardOf(key);
        std::lock_guard guard(shard.lock);
        return std::forward<Function>(function)(shard.entries);
    }

    // As above for read-only operations, without copying the entry.
    template <typename Function>
    auto withShard(const Key& key, Function&& function) const
    {
        auto& shard = shardOf(key);
        std::lock_guard guard(shard.lock);
        return std::forward<Function>(function)(std::as_const(shard.entries));
    }

    std::optional<Value> find(const Key& key) const
    {
        auto& shard = shardOf(key);
        std::lock_guard guard(shard.lock);
        auto entry = shard.entries.find(key);
        if (entry == shard.entries.end())
            return std::nullopt;
        return entry->second;
    }

    void set(const Key& key, Value value)
    {
        withShard(key, [&](Entries& entries) { entries.insert_or_assign(key, std::move(value)); });
    }

    bool erase(const Key& key)
    {
        return withShard(key, [&](Entries& entries) { return entries.erase(key) > 0; });
    }

    // Visits all entries, locking one shard at a time; not a consistent snapshot of the map.
    template <typename Function>
    void forEach(Function&& function) const
    {
        for (auto& shard : m_shards) {
            std::lock_guard guard(shard.lock);
            for (auto& [key, value] : shard.entries)
                function(key, value);
        }
    }

    // Removes all entries that satisfy the predicate and returns the number of entries removed.
    template <typename Predicate>
    size_t eraseIf(Predicate&& predicate)
    {
        size_t erased = 0;
        for (auto& shard : m_shards) {
            std::lock_guard guard(shard.lock);
            erased += std::erase_if(shard.entries, [&](auto& entry) { return predicate(entry.first, entry.second); });
        }
        return erased;
    }

    size_t size() const
    {
        size_t total = 0;
        for (auto& shard : m_shards) {
            std::lock_guard guard(shard.lock);
            total += shard.entries.size();
        }
        return total;
    }

private:
    struct Shard {
        mutable std::mutex lock;
        Entries entries;
    };

    Shard& shardOf(const Key& key) { return m_shards[Hash {}(key) % shardCount]; }
    const Shard& shardOf(const Key& key) const { return m_shards[Hash {}(key) % shardCount]; }

    std::array<Shard, shardCount> m_shards;
};

} // namespace Lavenderloft::Base
