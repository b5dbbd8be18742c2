#pragma once

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Bench/Spread/FaultyPeerClient.h"
#include "Process/HttpConfigurationSource.h"
#include "Transport/ControlServiceClient.h"
#include "Transport/Credentials.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace Lavenderloft::Testing {

// The clock of the operating system, which a test can let jump and stand still, as for a process that was paused.
class SkippingClock final : public Base::Clock {
public:
    Base::TimePoint now() const override
    {
        auto stoppedAt = m_stoppedAt.load();
        return stoppedAt == Base::TimePoint {} ? m_clock.now() + m_skipped.load() : stoppedAt;
    }

    Base::WallTime wallTime() const override { return m_clock.wallTime(); }

    // Goes forward at once and then stands still.
    void jumpAndStop(Base::Duration duration) { m_stoppedAt = now() + duration; }

    // Goes on from where it stands.
    void resume()
    {
        m_skipped = m_stoppedAt.load() - m_clock.now();
        m_stoppedAt = Base::TimePoint {};
    }

private:
    Base::SystemClock m_clock;
    std::atomic<Base::Duration> m_skipped { Base::Duration::zero() };
    std::atomic<Base::TimePoint> m_stoppedAt { Base::TimePoint {} };
};

// The platform's services as one process sees them. Watches are short, so that a process ends soon.
class SwitchedSource final : public Process::ConfigurationSource {
public:
    SwitchedSource(Http::Endpoint configurationService, Http::Endpoint vmList)
        : m_source(std::move(configurationService), std::move(vmList))
    {
    }

    Base::Result<std::optional<std::string>, Process::SourceError> read(uint64_t afterRevision, std::chrono::milliseconds wait) override
    {
        if (isCutOff)
            return unavailable();
        auto result = m_source.read(ignoresPosition ? 0 : afterRevision, std::min(wait, longestWatch));
        // A watch may have been pending when the switch was set.
        if (isCutOff)
            return unavailable();
        return result;
    }

    Base::Result<std::vector<Process::ListedVm>, Process::SourceError> listVms() override
    {
        if (isCutOff)
            return unavailable();
        auto result = m_source.listVms();
        if (isCutOff)
            return unavailable();
        return result;
    }

    void shutDown() override { m_source.shutDown(); }

    std::atomic<bool> isCutOff { false };
    // Whether reads return the service's document although it is not newer.
    std::atomic<bool> ignoresPosition { false };

private:
    static constexpr std::chrono::milliseconds longestWatch { 300 };

    static Process::SourceError unavailable() { return { Process::SourceErrorKind::Unavailable, "the test cut the process off", "" }; }

    Process::HttpConfigurationSource m_source;
};

// While stale, a process gets from each peer the last answer from before, and no document: it misses all news
// without taking its peers for dead.
class StalePeerClient final : public Membership::PeerClient {
public:
    explicit StalePeerClient(Membership::PeerClient& client)
        : m_client(client)
    {
    }

    void exchange(const std::string& address, const Membership::GossipMessage& message, std::chrono::milliseconds timeout, ExchangeCallback callback) override
    {
        if (isStale)
            return callback(lastAnswer(address));
        m_client.exchange(address, message, timeout, [this, address, callback = std::move(callback)](std::optional<Membership::GossipMessage> answer) {
            if (isStale)
                return callback(lastAnswer(address));
            if (answer)
                keep(address, *answer);
            callback(std::move(answer));
        });
    }

    void fetchDocument(const std::string& address, const std::string& heldDigest, std::chrono::milliseconds timeout, DocumentCallback callback) override
    {
        if (isStale)
            return callback(std::nullopt);
        m_client.fetchDocument(address, heldDigest, timeout, [this, callback = std::move(callback)](std::optional<Membership::DocumentReply> reply) {
            callback(isStale ? std::nullopt : std::move(reply));
        });
    }

    std::atomic<bool> isStale { false };

private:
    std::optional<Membership::GossipMessage> lastAnswer(const std::string& address)
    {
        std::lock_guard guard(m_lock);
        auto found = m_answers.find(address);
        // A peer that was not asked before gives no news either; no answer would be a failed probe.
        return found == m_answers.end() ? Membership::GossipMessage {} : found->second;
    }

    void keep(const std::string& address, const Membership::GossipMessage& answer)
    {
        std::lock_guard guard(m_lock);
        m_answers[address] = answer;
    }

    Membership::PeerClient& m_client;
    std::mutex m_lock;
    std::map<std::string, Membership::GossipMessage> m_answers;
};

// The gRPC client of one process behind the network faults that the fleet shares.
struct SwitchedPeers {
    explicit SwitchedPeers(const Bench::Spread::NetworkFaults& faults)
        : faulty(client, faults, random)
    {
    }

    Transport::ControlServiceClient client { Transport::makeLoopbackCredentials() };
    Base::SeededRandom random { 1 };
    Bench::Spread::FaultyPeerClient faulty;
    StalePeerClient stale { faulty };
};

} // namespace Lavenderloft::Testing
