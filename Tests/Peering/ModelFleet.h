#pragma once

#include "Base/SeededRandom.h"
#include "Peering/ModelChecks.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Peering {

// Routers of two regions and a store, in a sequence of events that a seed decides on: late, lost and reordered messages,
// routers that are suspended, restarted or cut off, and a store that fails in every way that it may.
class ModelFleet {
public:
    ModelFleet(uint64_t seed, std::chrono::seconds length)
        : m_random(seed)
        , m_end(Base::TimePoint(std::chrono::hours(1)) + length)
    {
        for (unsigned i = 0; i < routerCount; ++i)
            start(i);
        publishConfiguration();
        schedule(std::chrono::milliseconds(0), [this] { disturb(); });
    }

    // Runs until the end, and until the routers had time to agree without disturbances, or until a property does not hold.
    // Returns what does not hold, or an empty string.
    std::string run()
    {
        runUntil(m_end);
        endDisturbances();
        runUntil(m_end + settleTime);
        if (m_violation.empty())
            checkAgreement();
        return m_violation;
    }

    // What happened, one line for each step, up to the first violation.
    const std::vector<std::string>& steps() const { return m_steps; }
    size_t completenessChecks() const { return m_completenessChecks; }

private:
    using Duration = std::chrono::milliseconds;
    using Event = std::function<void()>;

    // Longer than routers are suspended, and than a router's way to what another one has.
    static constexpr Duration settleTime { 15000 };
    static constexpr unsigned routerCount = 4;
    static constexpr unsigned routersPerRegion = 2;
    static constexpr std::chrono::seconds routerUptimeSpread { 7200 };
    static constexpr Duration heartbeatInterval { 400 };
    static constexpr Duration requestTimeout { 1500 };
    static constexpr Duration storeCheckInterval { 20 };

    enum class StoreAccess {
        Up,
        Rejected,
        Silent,
    };

    struct Member {
        std::unique_ptr<ModelRouter> router;
        // Raised at each start; events of an earlier process are dropped.
        unsigned incarnation = 0;
        bool isSuspended = false;
        StoreAccess store = StoreAccess::Up;
        // Events that wait until the process goes on.
        std::deque<Event> waiting;
    };

    // A watch at the store.
    struct OpenWatch {
        unsigned index;
        unsigned incarnation;
        SentWatch watch;
        Base::TimePoint until;
        // Watches that were opened earlier were cut.
        unsigned cuts;
        std::shared_ptr<bool> isAnswered;
    };

    static std::string addressOf(unsigned index) { return "127.0.0." + std::to_string(index + 1); }

    void runUntil(Base::TimePoint end)
    {
        while (m_violation.empty() && !m_events.empty() && m_events.begin()->first <= end) {
            auto event = std::move(m_events.begin()->second);
            advanceTo(m_events.begin()->first);
            m_events.erase(m_events.begin());
            event();
        }
    }

    unsigned draw(unsigned bound) { return static_cast<unsigned>(m_random.next() % bound); }
    bool isDrawn(unsigned percent) { return draw(100) < percent; }

    void note(const std::string& step)
    {
        auto time = std::chrono::duration_cast<Duration>(m_now - Base::TimePoint(std::chrono::hours(1)));
        m_steps.push_back(std::to_string(time.count()) + " ms: " + step);
    }

    static std::string nameOf(unsigned index) { return "router " + std::to_string(index); }

    static std::string listOf(const std::vector<Fleet::PublishedItem>& items)
    {
        std::string text;
        for (auto& item : items)
            text += " " + item.key + (item.deleted ? " deleted" : "") + " at " + textOf(item.position) + ",";
        return text;
    }

    void noteChanges(const OpenWatch& open, const StoreCursor::Changes& changes)
    {
        auto start = nameOf(open.index) + " watched after " + std::to_string(open.watch.after) + ":";
        if (Base::succeeded(changes))
            note(start + listOf(Base::valueOf(changes).changes) + " up to " + textOf(Base::valueOf(changes).position));
        else
            note(start + " " + Base::errorOf(changes).describe());
    }

    void advanceTo(Base::TimePoint time)
    {
        for (auto& member : m_members)
            member.second.router->clock.advance(time - m_now);
        m_now = time;
    }

    void schedule(Duration delay, Event event) { m_events.emplace(m_now + delay, std::move(event)); }

    // An event of a process: it waits while the process is suspended and is lost when it ends.
    void scheduleAt(unsigned index, Duration delay, Event event)
    {
        auto incarnation = m_members[index].incarnation;
        schedule(delay, [this, index, incarnation, event = std::move(event)] { runAt(index, incarnation, event); });
    }

    void runAt(unsigned index, unsigned incarnation, const Event& event)
    {
        auto& member = m_members[index];
        if (member.incarnation != incarnation)
            return;
        if (member.isSuspended) {
            member.waiting.push_back(event);
            return;
        }
        event();
        check(index);
    }

    void start(unsigned index)
    {
        auto& member = m_members[index];
        Fleet::NodeSettings settings;
        settings.address = addressOf(index);
        settings.dataCentre = index < routersPerRegion ? "dc-a" : "dc-b";
        settings.region = index < routersPerRegion ? "r-a" : "r-b";
        settings.regionByDataCentre = { { "dc-a", "r-a" }, { "dc-b", "r-b" } };
        ++member.incarnation;
        member.isSuspended = false;
        member.waiting.clear();
        member.router = std::make_unique<ModelRouter>(settings, m_decoder, Duration(1 + draw(routerUptimeSpread / Duration(1))));
        scheduleAt(index, Duration(0), [this, index] { tick(index); });
        scheduleAt(index, Duration(draw(100)), [this, index] { sendHeartbeats(index); });
        scheduleAt(index, Duration(draw(100)), [this, index] { followStore(index); });
        scheduleAt(index, Duration(draw(100)), [this, index] { fetchItems(index); });
    }

    ModelRouter& router(unsigned index) { return *m_members[index].router; }

    void tick(unsigned index)
    {
        router(index).stalls.tick();
        Fleet::Commands::expireDeletions(router(index).fleet, router(index).clock.now());
        scheduleAt(index, ModelRouter::tickInterval, [this, index] { tick(index); });
    }

    // Time that a message or a response is on its way.
    Duration way()
    {
        if (isDrawn(4))
            return Duration(300 + draw(3500));
        return Duration(1 + draw(30));
    }

    bool isCut(unsigned from, unsigned to) const { return m_cuts.contains({ from, to }); }

    void sendHeartbeats(unsigned index)
    {
        for (unsigned other = 0; other < routerCount; ++other) {
            if (other != index)
                sendMessage(index, other);
        }
        scheduleAt(index, heartbeatInterval, [this, index] { sendHeartbeats(index); });
    }

    void sendMessage(unsigned from, unsigned to)
    {
        if (isCut(from, to) || isDrawn(3))
            return;
        auto message = router(from).messageTo(addressOf(to));
        scheduleAt(to, way(), [this, from, to, message] { receiveMessage(from, to, message); });
    }

    void receiveMessage(unsigned from, unsigned to, const NodeMessage& message)
    {
        auto& reports = router(to).reports;
        reports.recordArrival(message);
        reports.recordRouter(message);
        if (!reports.isKnownTo(message))
            sendMessage(to, from);
    }

    unsigned indexOf(const std::string& address) const
    {
        unsigned index = 0;
        while (addressOf(index) != address)
            ++index;
        return index;
    }

    void fetchItems(unsigned index)
    {
        router(index).receiver.updateLag();
        auto fetch = router(index).receiver.nextFetch();
        if (!fetch) {
            scheduleAt(index, Duration(30), [this, index] { fetchItems(index); });
            return;
        }
        sendFetch(index, *fetch, ValueEncoding::Packed);
    }

    void endFetch(unsigned index, const ItemFetch& fetch, bool isMerged)
    {
        router(index).receiver.recordEnd(fetch, isMerged);
        router(index).receiver.updateLag();
        scheduleAt(index, Duration(5), [this, index] { fetchItems(index); });
    }

    void sendFetch(unsigned index, const ItemFetch& fetch, ValueEncoding encoding)
    {
        auto peer = indexOf(fetch.router.address);
        auto isAnswered = std::make_shared<bool>(false);
        scheduleAt(index, requestTimeout, [=, this] {
            if (!std::exchange(*isAnswered, true))
                endFetch(index, fetch, false);
        });
        if (isCut(index, peer) || isCut(peer, index))
            return;
        scheduleAt(peer, way(), [=, this, incarnation = m_members[index].incarnation] {
            auto batch = router(peer).supplier.itemsAfter(fetch.after, encoding);
            if (m_members[index].incarnation != incarnation)
                return;
            scheduleAt(index, way(), [=, this] {
                if (!std::exchange(*isAnswered, true))
                    receiveItems(index, fetch, encoding, batch);
            });
        });
    }

    void receiveItems(unsigned index, const ItemFetch& fetch, ValueEncoding encoding, const std::optional<ItemBatch>& batch)
    {
        auto& receiver = router(index).receiver;
        if (!batch) {
            auto fetchOfAll = receiver.fetchAfterHistoryLost(fetch);
            if (fetchOfAll)
                sendFetch(index, *fetchOfAll, encoding);
            else
                endFetch(index, fetch, false);
            return;
        }
        note(nameOf(index) + " merges from " + fetch.router.address + " after " + textOf(fetch.after) + listOf(batch->items) + " up to " + textOf(batch->position));
        bool isMerged = receiver.merge(fetch, *batch);
        if (isMerged || encoding == ValueEncoding::Plain)
            endFetch(index, fetch, isMerged);
        else
            sendFetch(index, { fetch.router, fetch.after, router(index).clock.now() }, ValueEncoding::Plain);
    }

    void followStore(unsigned index)
    {
        auto& cursor = router(index).cursor;
        if (!router(index).shouldFollowStore()) {
            cursor.suspend();
            scheduleAt(index, Duration(200), [this, index] { followStore(index); });
            return;
        }
        cursor.resume();
        if (cursor.mustList())
            requestPage(index, std::make_shared<StoreListing>(cursor.startListing()));
        else
            requestChanges(index);
    }

    void endStoreRequest(unsigned index, bool succeeded)
    {
        auto& cursor = router(index).cursor;
        cursor.takeNews();
        cursor.recordResult(succeeded);
        auto delay = succeeded ? StoreCursor::changeBatchDelay : Duration(300);
        if (succeeded && cursor.isConfirmationUrgent())
            delay = Duration(0);
        scheduleAt(index, delay, [this, index] { followStore(index); });
    }

    static Fleet::StoreError rejection() { return { Fleet::StoreErrorKind::Refused, "rejected", "retry" }; }

    // The store is not reached, or its response does not arrive in time.
    void expectResponse(unsigned index, Duration timeout, Base::TimePoint requestedAt, const std::shared_ptr<bool>& isAnswered)
    {
        scheduleAt(index, timeout, [=, this] {
            if (std::exchange(*isAnswered, true))
                return;
            router(index).cursor.recordFailure("timeout", requestedAt);
            endStoreRequest(index, false);
        });
    }

    void requestPage(unsigned index, const std::shared_ptr<StoreListing>& listing)
    {
        auto isAnswered = std::make_shared<bool>(false);
        expectResponse(index, requestTimeout, listing->requestedAt, isAnswered);
        schedule(way(), [=, this, incarnation = m_members[index].incarnation] {
            if (m_members[index].incarnation != incarnation || m_members[index].store == StoreAccess::Silent)
                return;
            auto page = m_members[index].store == StoreAccess::Up ? m_store.list(listing->lastKey()) : StoreCursor::Page(rejection());
            scheduleAt(index, way(), [=, this] {
                if (!std::exchange(*isAnswered, true))
                    receivePage(index, listing, page);
            });
        });
    }

    void receivePage(unsigned index, const std::shared_ptr<StoreListing>& listing, const StoreCursor::Page& page)
    {
        if (Base::succeeded(page))
            note(nameOf(index) + " lists" + listOf(Base::valueOf(page).items) + " as of " + textOf(Base::valueOf(page).position));
        auto outcome = router(index).cursor.addPage(*listing, page);
        if (outcome == StoreOutcome::MorePages)
            requestPage(index, listing);
        else
            endStoreRequest(index, outcome == StoreOutcome::Used);
    }

    void requestChanges(unsigned index)
    {
        auto& cursor = router(index).cursor;
        auto watch = cursor.nextWatch();
        auto isAnswered = std::make_shared<bool>(false);
        expectResponse(index, cursor.timeoutOf(watch), watch.requestedAt, isAnswered);
        auto delay = way();
        OpenWatch open { index, m_members[index].incarnation, watch, m_now + delay + watch.wait, m_watchCuts, isAnswered };
        schedule(delay, [this, open] { serveWatch(open); });
    }

    void serveWatch(const OpenWatch& open)
    {
        auto& member = m_members[open.index];
        if (member.incarnation != open.incarnation || member.store == StoreAccess::Silent)
            return;
        if (member.store == StoreAccess::Rejected || open.cuts != m_watchCuts) {
            respond(open, rejection());
            return;
        }
        auto changes = m_store.changesAfter(open.watch.after);
        bool isDue = open.until <= m_now;
        bool hasNews = !Base::succeeded(changes) || !Base::valueOf(changes).changes.empty();
        if (m_now < m_deafUntil && Base::succeeded(changes)) {
            hasNews = false;
            std::get<Fleet::ChangeBatch>(changes).changes.clear();
        }
        if (isDue || hasNews)
            respond(open, changes);
        else
            schedule(storeCheckInterval, [this, open] { serveWatch(open); });
    }

    void respond(const OpenWatch& open, const StoreCursor::Changes& changes)
    {
        scheduleAt(open.index, way(), [this, open, changes] {
            if (std::exchange(*open.isAnswered, true))
                return;
            noteChanges(open, changes);
            auto outcome = router(open.index).cursor.applyChanges(changes, open.watch);
            endStoreRequest(open.index, outcome == StoreOutcome::Used);
        });
    }

    // A value that is large enough to be sent as a difference.
    void publishConfiguration()
    {
        ++m_version;
        auto value = "v" + std::to_string(m_version) + ":";
        for (unsigned i = 0; i < 600; ++i)
            value += "route " + std::to_string(i) + ";";
        m_decoder.publications["op/config=" + value] = Fleet::configurationOf(m_version);
        m_store.write("op/config", value, m_now);
        note("configuration " + std::to_string(m_version) + " written at " + textOf(m_store.position()));
    }

    void publishTarget()
    {
        auto id = std::to_string(draw(5));
        auto key = "t/" + id;
        if (isDrawn(35)) {
            m_store.erase(key, m_now);
            note(key + " erased at " + textOf(m_store.position()));
            return;
        }
        auto value = std::to_string(++m_version);
        m_decoder.publications[key + "=" + value] = Fleet::targetOf(id, "s");
        m_store.write(key, value, m_now);
        note(key + " written at " + textOf(m_store.position()));
    }

    void suspendRouter(unsigned index)
    {
        auto time = Duration(100 + draw(4000));
        auto& member = m_members[index];
        if (member.isSuspended)
            return;
        note(nameOf(index) + " suspended for " + std::to_string(time.count()) + " ms");
        member.isSuspended = true;
        schedule(time, [this, index, incarnation = member.incarnation] { resumeRouter(index, incarnation); });
    }

    void resumeRouter(unsigned index, unsigned incarnation)
    {
        auto& member = m_members[index];
        if (member.incarnation != incarnation)
            return;
        member.isSuspended = false;
        while (!member.waiting.empty()) {
            auto event = std::move(member.waiting.front());
            member.waiting.pop_front();
            event();
            check(index);
        }
    }

    void restart(unsigned index)
    {
        note(nameOf(index) + " restarted");
        start(index);
    }

    void cutOff(unsigned index)
    {
        auto time = isDrawn(5) ? Duration(Fleet::FleetState::deletionRetention) + Duration(draw(5000)) : Duration(500 + draw(6000));
        note(nameOf(index) + " cut off for " + std::to_string(time.count()) + " ms");
        for (unsigned other = 0; other < routerCount; ++other) {
            std::pair<unsigned, unsigned> cut = isDrawn(50) ? std::pair(index, other) : std::pair(other, index);
            m_cuts.insert(cut);
            schedule(time, [this, cut] { m_cuts.erase(cut); });
        }
        if (isDrawn(50))
            limitStore(index, time);
    }

    void limitStore(unsigned index, Duration time)
    {
        auto access = isDrawn(50) ? StoreAccess::Silent : StoreAccess::Rejected;
        note(nameOf(index) + (access == StoreAccess::Silent ? " hears nothing of the store for " : " is rejected by the store for ") + std::to_string(time.count()) + " ms");
        m_members[index].store = access;
        schedule(time, [this, index] { m_members[index].store = StoreAccess::Up; });
    }

    // Watches hear nothing, then the history is dropped and they are cut.
    void compactStore()
    {
        auto time = Duration(1000);
        note("watches hear nothing for 1 s, then the history is dropped");
        m_deafUntil = m_now + time;
        schedule(time, [this] {
            m_store.dropHistory();
            ++m_watchCuts;
        });
    }

    void returnFromCopy()
    {
        m_store.returnFromCopy(draw(4), m_now);
        ++m_watchCuts;
        note("the store returns from an older copy, era " + std::to_string(m_store.position().era));
    }

    void disturb()
    {
        if (m_isCalm)
            return;
        auto index = draw(routerCount);
        auto kind = draw(100);
        if (kind < 35)
            publishConfiguration();
        else if (kind < 60)
            publishTarget();
        else if (kind < 72)
            suspendRouter(index);
        else if (kind < 77)
            restart(index);
        else if (kind < 85)
            cutOff(index);
        else if (kind < 91)
            limitStore(index, Duration(500 + draw(5000)));
        else if (kind < 98)
            compactStore();
        else
            returnFromCopy();
        schedule(Duration(10 + draw(500)), [this] { disturb(); });
    }

    void check(unsigned index)
    {
        auto& node = router(index);
        auto asOf = completeSince(node);
        m_completenessChecks += asOf ? 1 : 0;
        auto violation = findReversal(node);
        if (!violation && asOf)
            violation = findMissingItem(node, m_store, *asOf, m_now);
        if (!violation)
            return;
        m_violation = nameOf(index) + ": " + *violation;
        note(m_violation);
    }

    void endDisturbances()
    {
        m_isCalm = true;
        m_cuts.clear();
        for (auto& member : m_members)
            member.second.store = StoreAccess::Up;
    }

    // After a return of the store from an older copy, the operators may not write again for long.
    void checkAgreement()
    {
        std::set<uint64_t> versions;
        for (unsigned index = 0; index < routerCount; ++index) {
            versions.insert(configurationVersion(router(index)));
            note(nameOf(index) + " has configuration " + std::to_string(configurationVersion(router(index))) + " at " + textOf(Fleet::Queries::knownPosition(router(index).fleet)));
        }
        if (versions.size() > 1)
            m_violation = "the routers do not agree on the configuration";
    }

    // Up to when the router counts as complete, by the time of the store.
    std::optional<Base::TimePoint> completeSince(const ModelRouter& node) const
    {
        auto completeness = Fleet::Queries::completeness(node.fleet);
        if (!completeness)
            return std::nullopt;
        return m_now - (node.clock.now() - completeness->asOf);
    }

    Base::SeededRandom m_random;
    Base::TimePoint m_now { std::chrono::hours(1) };
    const Base::TimePoint m_end;
    // By time, in the order of scheduling.
    std::multimap<Base::TimePoint, Event> m_events;
    Fleet::TableDecoder m_decoder;
    ModelStore m_store { m_now };
    std::map<unsigned, Member> m_members;
    // From the first to the second router nothing arrives.
    std::set<std::pair<unsigned, unsigned>> m_cuts;
    Base::TimePoint m_deafUntil {};
    unsigned m_watchCuts = 0;
    // Nothing is disturbed any more.
    bool m_isCalm = false;
    uint64_t m_version = 0;
    std::vector<std::string> m_steps;
    std::string m_violation;
    size_t m_completenessChecks = 0;
};

} // namespace Lavenderloft::Peering
