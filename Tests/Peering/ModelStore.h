#pragma once

#include "Fleet/StoreProtocol.h"
#include "Peering/StoreCursor.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Peering {

// The store of published items, reduced to its history. It can drop what it had published earlier, and return from an
// older copy of itself.
class ModelStore {
public:
    // What the store had for a key at some time.
    struct Version {
        Fleet::StorePosition position;
        std::string value;
        bool deleted = false;
    };
    using Items = std::map<std::string, Version>;

    explicit ModelStore(Base::TimePoint start)
        : m_states { { start, {} } }
    {
    }

    void write(const std::string& key, const std::string& value, Base::TimePoint now) { change(key, { {}, value, false }, now); }
    void erase(const std::string& key, Base::TimePoint now) { change(key, { {}, "", true }, now); }

    Fleet::StorePosition position() const { return m_position; }

    StoreCursor::Page list(const std::string& afterKey) const
    {
        constexpr size_t itemsPerPage = 3;
        Fleet::ListPage page;
        page.position = m_position;
        for (auto& [key, version] : m_states.back().items) {
            if (version.deleted || key <= afterKey)
                continue;
            if (page.items.size() == itemsPerPage) {
                page.morePages = true;
                break;
            }
            page.items.push_back({ key, version.value, version.position });
        }
        return page;
    }

    StoreCursor::Changes changesAfter(uint64_t revision) const
    {
        if (revision < m_droppedUpTo)
            return Fleet::StoreError { Fleet::StoreErrorKind::HistoryLost, "history lost", "list all items again" };
        Fleet::ChangeBatch batch;
        batch.position = m_position;
        for (auto& [key, version] : m_states.back().items) {
            if (version.position.revision > revision)
                batch.changes.push_back({ key, version.value, version.position, version.deleted });
        }
        return batch;
    }

    void dropHistory()
    {
        m_droppedUpTo = m_position.revision;
    }

    // Loses the last changes, at most `count`, and returns in a new era.
    void returnFromCopy(size_t count, Base::TimePoint now)
    {
        auto lost = std::min(count, m_states.size() - 1);
        auto items = m_states[m_states.size() - 1 - lost].items;
        ++m_position.era;
        m_position.revision = 0;
        for (auto& [key, version] : items) {
            version.position.era = m_position.era;
            m_position.revision = std::max(m_position.revision, version.position.revision);
        }
        std::erase_if(items, [](auto& entry) { return entry.second.deleted; });
        m_droppedUpTo = m_position.revision;
        m_states.push_back({ now, std::move(items) });
    }

    // What the store had at the given time.
    const Items& itemsAt(Base::TimePoint time) const
    {
        auto later = std::find_if(m_states.begin() + 1, m_states.end(), [&](auto& state) { return state.since > time; });
        return std::prev(later)->items;
    }

    // Whether the store lacked the key at some time since the given one.
    bool isMissingSince(const std::string& key, Base::TimePoint time) const
    {
        auto later = std::find_if(m_states.begin() + 1, m_states.end(), [&](auto& state) { return state.since > time; });
        return std::any_of(std::prev(later), m_states.end(), [&](auto& state) {
            auto found = state.items.find(key);
            return found == state.items.end() || found->second.deleted;
        });
    }

    // Whether a node may have the value at the position. After the store has returned from a copy, a version that it lost
    // may stand at the position of the one that the copy shows.
    bool mayBeKnownAs(const std::string& key, const std::string& value, Fleet::StorePosition position) const
    {
        return std::any_of(m_states.begin(), m_states.end(), [&](auto& state) {
            auto found = state.items.find(key);
            if (found == state.items.end() || found->second.value != value)
                return false;
            return found->second.position == position || found->second.position.era < position.era;
        });
    }

private:
    struct State {
        Base::TimePoint since;
        Items items;
    };

    void change(const std::string& key, Version version, Base::TimePoint now)
    {
        ++m_position.revision;
        version.position = m_position;
        auto items = m_states.back().items;
        items[key] = std::move(version);
        m_states.push_back({ now, std::move(items) });
    }

    Fleet::StorePosition m_position { 1 };
    // Changes up to this revision can't be requested any more.
    uint64_t m_droppedUpTo = 0;
    std::vector<State> m_states;
};

} // namespace Lavenderloft::Peering
