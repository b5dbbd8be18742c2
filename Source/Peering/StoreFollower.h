#pragma once

#include "Base/Clock.h"
#include "Fleet/StoreProtocol.h"
#include "Http/KeptClient.h"
#include "Peering/ItemMerger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace Lavenderloft::Peering {

// Follows what is published below one prefix: lists everything once, then waits for changes. While the store
// does not answer, it is asked again at growing intervals.
class StoreFollower {
public:
    StoreFollower(boost::asio::io_context&, Http::Endpoint store, const Fleet::StoreProtocol&, ItemMerger&, const Base::Clock&, std::string prefix);

    // Called after something new came from the store.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

    // Runs until the event loop ends. While `isNeeded` returns false, the store is left alone: other nodes tell
    // this one what is published.
    boost::asio::awaitable<void> run(std::function<bool()> isNeeded);

    // When the store last told everything that had changed; nothing while it is left alone or does not answer.
    std::optional<Base::TimePoint> syncedAt() const { return m_isFollowing ? m_completeAt : std::nullopt; }

private:
    boost::asio::awaitable<bool> listAll();
    boost::asio::awaitable<bool> waitForChanges();
    void noteConnected(bool connected, const std::string& reason);
    std::optional<Base::TimePoint> deletionsDeferredUntil() const;
    void leaveAlone();
    void resume();
    void noteAnswered(bool answered);
    void applyChanges(const Fleet::ChangeBatch&);

    boost::asio::io_context& m_context;
    Http::KeptClient m_client;
    const Fleet::StoreProtocol& m_protocol;
    ItemMerger& m_merger;
    const Base::Clock& m_clock;
    std::string m_prefix;
    std::function<void()> m_onChange;
    bool m_isFollowing = false;
    bool m_connected = false;
    // When other nodes last stood in for the store.
    std::optional<Base::TimePoint> m_leftAloneAt;
    // It failed since the last listing, so that entries may have lapsed meanwhile.
    std::optional<Base::TimePoint> m_regainedAt;
    std::optional<uint64_t> m_revision;
    // When the store last told everything that had changed.
    std::optional<Base::TimePoint> m_completeAt;
    std::chrono::milliseconds m_backoff { 0 };
};

} // namespace Lavenderloft::Peering
