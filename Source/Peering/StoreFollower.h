#pragma once

#include "Base/AdaptiveTimeout.h"
#include "Base/Clock.h"
#include "Base/StallMonitor.h"
#include "Fleet/StoreProtocol.h"
#include "Http/PersistentHttpClient.h"
#include "Peering/ItemMerger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Peering {

// Follows the items below one prefix of the store: lists all of them once, then watches for changes. Failed requests
// are retried with exponential backoff.
class StoreFollower {
public:
    StoreFollower(boost::asio::io_context&, Http::Endpoint store, const Fleet::StoreProtocol&, ItemMerger&, const Base::Clock&, const Base::StallMonitor&, std::string prefix);

    // Called after items from the store were merged.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

    // Runs until the event loop ends. While `isNeeded` returns false, no requests are sent to the store, because other
    // nodes relay the published items.
    boost::asio::awaitable<void> run(std::function<bool()> isNeeded);

    // When this node last had all changes from the store; nullopt while the store is not followed or does not respond.
    std::optional<Base::TimePoint> syncedAt() const { return m_isFollowing ? m_syncedAt : std::nullopt; }

private:
    // A watch request that the store has answered.
    struct SentWatch {
        Base::TimePoint requestedAt;
        std::chrono::milliseconds wait;
        size_t responseBytes;
    };

    // Declarations in a response that was handled as soon as it arrived. Their time is exact once the next response shows
    // how long the store takes to respond.
    struct UnconfirmedDeclarations {
        std::vector<Fleet::ObservedDeclaration> declarations;
        Base::TimePoint receivedAt;
        // As measured before the declarations were received.
        Base::Duration responseTimeBefore;
    };

    boost::asio::awaitable<bool> listAll();
    boost::asio::awaitable<bool> waitForChanges();
    void updateConnection(bool connected, const std::string& reason);
    std::optional<Base::TimePoint> deletionsDeferredUntil() const;
    void suspend();
    void resume();
    void recordResult(bool succeeded);
    void recordFailure(const std::string& reason, Base::TimePoint failedAt);
    void recordIgnored(const std::string& reason);
    static void recordTimeout(const Http::HttpError&, Base::AdaptiveTimeout&);
    std::chrono::milliseconds nextWait() const;
    bool isConfirmationUrgent() const;
    void discardPosition();
    bool isStale(Fleet::StorePosition) const;
    void logEra(Fleet::StorePosition) const;
    void recordResponseTime(Base::Duration);
    void applyChanges(const Fleet::ChangeBatch&, const SentWatch&);
    void logChanges(size_t count, const SentWatch&, Base::TimePoint now) const;
    bool observedAtOnce() const;
    Base::TimePoint syncTime(const Fleet::ChangeBatch&, const SentWatch&) const;
    void confirmObserved();

    boost::asio::io_context& m_context;
    Http::PersistentHttpClient m_client;
    const Fleet::StoreProtocol& m_protocol;
    ItemMerger& m_merger;
    const Base::Clock& m_clock;
    const Base::StallMonitor& m_stalls;
    std::string m_prefix;
    Base::AdaptiveTimeout m_listTimeout;
    Base::AdaptiveTimeout m_watchMargin;
    std::function<void()> m_onChange;
    bool m_isFollowing = false;
    // The last response was that of a watch, so the next one has the changes made since, and no older ones.
    bool m_isWatching = false;
    bool m_connected = false;
    // This node relies on other nodes instead of the store.
    bool m_isSuspended = false;
    // When the store responded again after a failure. Entries may have expired during the outage.
    std::optional<Base::TimePoint> m_reconnectedAt;
    std::optional<Fleet::StorePosition> m_position;
    // When this node last had all changes from the store.
    std::optional<Base::TimePoint> m_syncedAt;
    std::chrono::milliseconds m_backoff { 0 };
    // How long the store took for the last response whose time of sending is known.
    Base::Duration m_responseTime {};
    std::optional<UnconfirmedDeclarations> m_unconfirmed;
    // The last response had changes; whether there are more is not known yet.
    bool m_hasUnconfirmedChanges = false;
    // The last response was that of a probe.
    bool m_wasProbe = false;
};

} // namespace Lavenderloft::Peering
