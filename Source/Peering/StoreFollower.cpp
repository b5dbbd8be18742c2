#include "Peering/StoreFollower.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Peering/Events.h"

namespace Lavenderloft::Peering {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds listTimeout = 1500ms;
    // Longest time that a call waits for a change. A connection that went silent is noticed after it.
    constexpr std::chrono::milliseconds watchWait = 1600ms;
    // Changes that follow each other closely are fetched by one call, as the store limits their rate.
    constexpr std::chrono::milliseconds changePause = 150ms;
    // Time for the answer beyond the wait; a connection that is silent for longer is given up.
    constexpr std::chrono::milliseconds watchSlack = 1000ms;
    constexpr std::chrono::milliseconds firstBackoff = 150ms;
    constexpr std::chrono::milliseconds longestBackoff = 1200ms;
    constexpr std::chrono::milliseconds idleCheckInterval = 200ms;
    // Entries that lapsed while the store was away may be missing this long after its return.
    constexpr std::chrono::milliseconds lapsedEntryGrace = 1900ms;
    // Deletions that are seen later after the return did not happen while the store was away.
    constexpr std::chrono::milliseconds firstAnswersPeriod = 300ms;
    // Other nodes tell what is published at most so much later than the store.
    constexpr std::chrono::milliseconds standInDelay = 1500ms;

} // namespace

StoreFollower::StoreFollower(asio::io_context& context, Http::Endpoint store, const Fleet::StoreProtocol& protocol, ItemMerger& merger, const Base::Clock& clock, std::string prefix)
    : m_context(context)
    , m_client(context.get_executor(), std::move(store))
    , m_protocol(protocol)
    , m_merger(merger)
    , m_clock(clock)
    , m_prefix(std::move(prefix))
{
}

asio::awaitable<void> StoreFollower::run(std::function<bool()> isNeeded)
{
    while (true) {
        if (!isNeeded()) {
            leaveAlone();
            co_await Http::sleepFor(m_context, idleCheckInterval);
            continue;
        }
        resume();
        bool answered = false;
        if (m_revision)
            answered = co_await waitForChanges();
        else
            answered = co_await listAll();
        noteAnswered(answered);
        co_await Http::sleepFor(m_context, answered ? changePause : m_backoff);
    }
}

void StoreFollower::leaveAlone()
{
    m_revision.reset();
    m_isFollowing = false;
    m_leftAloneAt = m_clock.now();
    m_client.disconnect();
}

// Goes on from what other nodes told while the store was left alone or did not answer: it spares a listing,
// and they know the age of it better.
void StoreFollower::resume()
{
    auto known = Fleet::Queries::knownRevision(m_merger.fleet());
    if (m_leftAloneAt) {
        m_merger.noteComplete(*m_leftAloneAt - standInDelay);
        m_leftAloneAt.reset();
        if (known > 0)
            m_revision = known;
    }
    if (m_revision && !m_isFollowing)
        m_revision = std::max(*m_revision, known);
}

void StoreFollower::noteAnswered(bool answered)
{
    m_isFollowing = answered;
    if (answered) {
        m_backoff = 0ms;
        return;
    }
    m_backoff = m_backoff == 0ms ? firstBackoff : std::min(m_backoff * 2, longestBackoff);
    m_merger.noteStoreFailure(m_clock.now());
}

// Entries that lapsed while the store was away show as deletions in its first answers.
std::optional<Base::TimePoint> StoreFollower::deletionsDeferredUntil() const
{
    if (!m_regainedAt || m_clock.now() - *m_regainedAt > firstAnswersPeriod)
        return std::nullopt;
    return *m_regainedAt + lapsedEntryGrace;
}

void StoreFollower::noteConnected(bool connected, const std::string& reason)
{
    if (connected == m_connected)
        return;
    m_connected = connected;
    // While others reached the store it was not away, and no entry lapsed for that.
    if (connected && m_completeAt && !m_merger.wasToldLately())
        m_regainedAt = m_clock.now();
    Observability::logEvent(connected ? Events::storeReached : Events::storeLost, { { "prefix", m_prefix }, { "reason", reason } });
}

asio::awaitable<bool> StoreFollower::listAll()
{
    std::vector<std::string> keys;
    std::vector<Fleet::PublishedItem> items;
    std::optional<uint64_t> revision;
    std::string afterKey;
    while (true) {
        auto answer = co_await m_client.call(m_protocol.listRequest(m_prefix, afterKey), listTimeout);
        if (!Base::succeeded(answer)) {
            noteConnected(false, Base::errorOf(answer).describe());
            co_return false;
        }
        auto page = m_protocol.readList(Base::valueOf(answer));
        if (!Base::succeeded(page)) {
            noteConnected(false, Base::errorOf(page).describe());
            co_return false;
        }
        auto& listed = Base::valueOf(page);
        // Pages are no snapshot: only what stood before the first of them is known to be complete.
        if (!revision)
            revision = listed.revision;
        for (auto& item : listed.items) {
            keys.push_back(item.key);
            items.push_back(item);
            items.back().age = m_merger.longestAge();
            items.back().ageIsBound = true;
        }
        if (!listed.morePages || listed.items.empty())
            break;
        afterKey = keys.back();
    }
    noteConnected(true, "listed");
    m_revision = revision;
    m_completeAt = m_clock.now();
    m_merger.noteComplete(*m_completeAt);
    m_merger.apply(std::move(items), *revision, deletionsDeferredUntil(), "store");
    m_merger.applyListing(m_prefix, keys, *revision, deletionsDeferredUntil());
    m_isFollowing = true;
    if (m_onChange)
        m_onChange();
    co_return true;
}

asio::awaitable<bool> StoreFollower::waitForChanges()
{
    auto answer = co_await m_client.call(m_protocol.watchRequest(m_prefix, *m_revision, watchWait), watchWait + watchSlack);
    if (!Base::succeeded(answer)) {
        noteConnected(false, Base::errorOf(answer).describe());
        m_client.disconnect();
        co_return false;
    }
    auto batch = m_protocol.readChanges(Base::valueOf(answer));
    if (!Base::succeeded(batch)) {
        auto& error = Base::errorOf(batch);
        if (error.kind == Fleet::StoreErrorKind::HistoryLost) {
            m_revision.reset();
            co_return true;
        }
        noteConnected(false, error.describe());
        co_return false;
    }
    noteConnected(true, "watching");
    applyChanges(Base::valueOf(batch));
    co_return true;
}

// Changes may have come since the last complete answer, while no call waited for them.
void StoreFollower::applyChanges(const Fleet::ChangeBatch& batch)
{
    auto changes = batch.changes;
    // A call that waits is answered at once, but no call waits in the pause after the one before.
    auto age = m_isFollowing ? changePause : m_merger.longestAge();
    for (auto& change : changes) {
        change.age = age;
        change.ageIsBound = !m_isFollowing;
    }
    m_completeAt = m_clock.now();
    m_merger.noteComplete(*m_completeAt);
    m_isFollowing = true;
    m_revision = std::max(*m_revision, batch.revision);
    if (changes.empty())
        return;
    m_merger.apply(std::move(changes), *m_revision, deletionsDeferredUntil(), "store");
    if (m_onChange)
        m_onChange();
}

} // namespace Lavenderloft::Peering
