#pragma once

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Bench/Spread/FaultyMembershipPeerClient.h"
#include "Process/HttpConfigurationSource.h"
#include "Transport/ControlServiceClient.h"
#include "Transport/Credentials.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace Lavenderloft::Testing {

// A system clock that a test can advance and stop, to simulate a paused process.
class PausableClock final : public Base::Clock {
public:
    Base::TimePoint now() const override
    {
        auto stoppedAt = m_stoppedAt.load();
        return stoppedAt == Base::TimePoint {} ? m_clock.now() + m_offset.load() : stoppedAt;
    }

    Base::WallTime wallTime() const override { return m_clock.wallTime(); }

    // Advances the clock and stops it.
    void advanceAndStop(Base::Duration duration) { m_stoppedAt = now() + duration; }

    // Continues from the time at which the clock was stopped.
    void resume()
    {
        m_offset = m_stoppedAt.load() - m_clock.now();
        m_stoppedAt = Base::TimePoint {};
    }

private:
    Base::SystemClock m_clock;
    std::atomic<Base::Duration> m_offset { Base::Duration::zero() };
    std::atomic<Base::TimePoint> m_stoppedAt { Base::TimePoint {} };
};

// The configuration service and the VM list as one process sees them, with injected faults. Watches are limited to
// 300 ms, so that a process does not wait for one when it stops.
class FaultyConfigurationSource final : public Process::ConfigurationSource {
public:
    FaultyConfigurationSource(Http::Endpoint configurationService, Http::Endpoint vmList)
        : m_source(std::move(configurationService), std::move(vmList))
    {
    }

    Base::Result<std::optional<std::string>, Process::SourceError> read(uint64_t afterRevision, std::chrono::milliseconds wait) override
    {
        if (isDisconnected)
            return unavailable();
        auto result = m_source.read(ignoresHeldRevision ? 0 : afterRevision, std::min(wait, longestWatch));
        // The fault may have been injected while the watch was pending.
        if (isDisconnected)
            return unavailable();
        return result;
    }

    Base::Result<std::vector<Process::ListedVm>, Process::SourceError> listVms() override
    {
        if (isDisconnected)
            return unavailable();
        auto result = m_source.listVms();
        if (isDisconnected)
            return unavailable();
        return result;
    }

    void shutDown() override { m_source.shutDown(); }

    std::atomic<bool> isDisconnected { false };
    // Whether reads return the service's document regardless of its revision.
    std::atomic<bool> ignoresHeldRevision { false };

private:
    static constexpr std::chrono::milliseconds longestWatch { 300 };

    static Process::SourceError unavailable() { return { Process::SourceErrorKind::Unavailable, "the test disconnected the process from the platform", "" }; }

    Process::HttpConfigurationSource m_source;
};

// While stale, replays the last gossip response of each peer and fetches no documents. The process misses all updates,
// but its failure detector does not suspect the peers.
class StalePeerClient final : public Membership::PeerClient {
public:
    explicit StalePeerClient(Membership::PeerClient& client)
        : m_client(client)
    {
    }

    void exchange(const std::string& address, const Membership::GossipMessage& message, std::chrono::milliseconds timeout, ExchangeCallback callback) override
    {
        if (isStale)
            return callback(lastResponse(address));
        m_client.exchange(address, message, timeout, [this, address, callback = std::move(callback)](std::optional<Membership::GossipMessage> response) {
            if (isStale)
                return callback(lastResponse(address));
            if (response)
                storeResponse(address, *response);
            callback(std::move(response));
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
    std::optional<Membership::GossipMessage> lastResponse(const std::string& address)
    {
        std::lock_guard guard(m_lock);
        auto found = m_responses.find(address);
        // For a peer without an earlier response, an empty message; no response would count as a failed probe.
        return found == m_responses.end() ? Membership::GossipMessage {} : found->second;
    }

    void storeResponse(const std::string& address, const Membership::GossipMessage& response)
    {
        std::lock_guard guard(m_lock);
        m_responses[address] = response;
    }

    Membership::PeerClient& m_client;
    std::mutex m_lock;
    std::map<std::string, Membership::GossipMessage> m_responses;
};

// The gRPC client of one process, subject to the network faults that the fleet shares.
struct FaultyPeers {
    explicit FaultyPeers(const Bench::Spread::NetworkFaults& faults)
        : faulty(client, faults, random)
    {
    }

    Transport::ControlServiceClient client { Transport::makeLoopbackCredentials() };
    Base::SeededRandom random { 1 };
    Bench::Spread::FaultyMembershipPeerClient faulty;
    StalePeerClient stale { faulty };
};

} // namespace Lavenderloft::Testing
