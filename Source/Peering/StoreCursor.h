#pragma once

#include "Base/AdaptiveTimeout.h"
#include "Base/Clock.h"
#include "Base/StallMonitor.h"
#include "Fleet/StoreProtocol.h"
#include "Peering/ItemMerger.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Peering {

// A watch request that was sent to the store.
struct SentWatch {
    Base::TimePoint requestedAt;
    std::chrono::milliseconds wait { 0 };
    // The changes after this revision were requested.
    uint64_t after = 0;
    // Size of the response.
    size_t responseBytes = 0;
};

// The pages of a listing that have arrived.
struct StoreListing {
    Base::TimePoint requestedAt;
    // Position of the first page.
    std::optional<Fleet::StorePosition> position;
    std::vector<Fleet::PublishedItem> items;
    std::vector<std::string> keys;
    // Last key of each page.
    std::set<std::string> lastKeys;

    std::string lastKey() const { return keys.empty() ? std::string() : keys.back(); }
};

// What a response of the store means for the next request.
enum class StoreOutcome {
    // The response was used.
    Used,
    // The response was used, and the listing has another page.
    MorePages,
    // The store rejected the request, or its response can't be used.
    Failed,
    // The response is not used and its connection must be closed: it may lead to the store as it was before.
    Ignored,
};

// Position of a node in the history of the store. Decides which requests follow, merges the items of the responses, and up to
// which time these make the items complete. Sends nothing itself. Used on one event loop. A node has one cursor, for all keys:
// what it knows is compared with what others know by one position.
class StoreCursor {
public:
    using Page = Base::Result<Fleet::ListPage, Fleet::StoreError>;
    using Changes = Base::Result<Fleet::ChangeBatch, Fleet::StoreError>;

    // Delay between watch requests, to fetch a burst of changes with one request: the store limits the request rate.
    static constexpr std::chrono::milliseconds changeBatchDelay { 150 };

    StoreCursor(ItemMerger&, const Base::Clock&, const Base::StallMonitor&);

    // Other nodes relay the published items: the store is not followed until resume() is called.
    void suspend();
    void resume();

    // Whether all items have to be listed before changes can be requested.
    bool mustList() const { return !m_position; }

    StoreListing startListing();

    // Adds a page to the listing, and merges the items after the last one.
    StoreOutcome addPage(StoreListing&, const Page&);

    // The watch request to send next. While the store does not respond it has no wait, so that its answer shows at once.
    SentWatch nextWatch() const;

    // A watch without a wait, which shows whether the store responds.
    SentWatch nextProbe() const;

    // The watch was not answered, and a later one was: the change that this one brings may be older than its wait.
    void abandonWatch() { m_isWatching = false; }

    // How long to wait for the response to a watch before the store is asked again beside it.
    std::chrono::milliseconds hedgeDelayOf(const SentWatch&) const;

    // How long to wait for the response to a watch.
    std::chrono::milliseconds timeoutOf(const SentWatch& watch) const { return watch.wait + m_watchMargin.current(); }

    // Merges the changes of the response to a watch.
    StoreOutcome applyChanges(const Changes&, const SentWatch&);

    // No response to the watch came in time.
    void recordWatchTimeout() { m_watchMargin.recordTimeout(); }

    // Records that a request failed. `failedAt` is the last time at which the store certainly had not responded yet.
    void recordFailure(const std::string& reason, Base::TimePoint failedAt);

    // Records whether the store answered the last request or listing.
    void recordResult(bool succeeded);

    // Whether the next watch is sent without delay, to learn whether the last changes were all.
    bool isConfirmationUrgent() const;

    // When this node last had all changes from the store; nullopt while the store is not followed or does not respond, and
    // while others have told of a later era of the store.
    std::optional<Base::TimePoint> syncedAt() const;

    // Whether items were merged since the last call.
    bool takeNews();

private:
    // Declarations in a response that was handled as soon as it arrived. Their time is exact once the next response shows
    // how long the store takes to respond.
    struct UnconfirmedDeclarations {
        std::vector<Fleet::ObservedDeclaration> declarations;
        Base::TimePoint receivedAt;
        // As measured before the declarations were received.
        Base::Duration responseTimeBefore;
    };

    void mergeListing(StoreListing&);
    void mergeChanges(const Fleet::ChangeBatch&, const SentWatch&);
    StoreOutcome fail(const std::string& reason);
    StoreOutcome ignore(const std::string& reason);
    void updateConnection(bool connected, const std::string& reason);
    std::optional<Base::TimePoint> deletionsDeferredUntil() const;
    void discardPosition();
    bool isStale(Fleet::StorePosition) const;
    void logEra(Fleet::StorePosition) const;
    void logChanges(size_t count, const SentWatch&, Base::TimePoint now) const;
    void recordResponseTime(const Fleet::ChangeBatch&, const SentWatch&, Base::TimePoint now);
    bool observedAtOnce() const;
    Base::TimePoint syncTime(const Fleet::ChangeBatch&, const SentWatch&) const;
    void confirmObserved();

    ItemMerger& m_merger;
    const Base::Clock& m_clock;
    const Base::StallMonitor& m_stalls;
    Base::AdaptiveTimeout m_watchMargin;
    bool m_isFollowing = false;
    // The last response was that of a watch, so the next one has the changes made since, and no older ones.
    bool m_isWatching = false;
    bool m_connected = false;
    bool m_isSuspended = false;
    // When the store responded again after a failure. Entries may have expired during the outage.
    std::optional<Base::TimePoint> m_reconnectedAt;
    std::optional<Fleet::StorePosition> m_position;
    std::optional<Base::TimePoint> m_syncedAt;
    // Era of the response that m_syncedAt is due to.
    uint64_t m_syncedEra = 0;
    // How long the store took for the last response whose time of sending is known.
    Base::Duration m_responseTime {};
    std::optional<UnconfirmedDeclarations> m_unconfirmed;
    // The last response had changes; whether there are more is not known yet.
    bool m_hasUnconfirmedChanges = false;
    // The last response was that of a probe.
    bool m_wasProbe = false;
    bool m_hasNews = false;
};

} // namespace Lavenderloft::Peering
