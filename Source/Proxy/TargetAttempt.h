#pragma once

#include "Dispatch/Commands/RecordOutcome.h"
#include "Dispatch/Decision.h"
#include "Dispatch/Queries/FindSilenceLimits.h"
#include "Proxy/HeldLease.h"
#include "Proxy/ProxyRequest.h"
#include "Proxy/TargetExchange.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace Lavenderloft::Proxy {

// Whether the status tells the caller that the request did not run.
bool impliesNotExecuted(unsigned status);

// Outcome of an attempt with a lease.
struct AttemptOutcome {
    // The caller has its response, or can no longer receive one.
    bool finished = false;
    Dispatch::Queries::AttemptEnd end = Dispatch::Queries::AttemptEnd::Broken;
    Dispatch::Commands::AttemptResult result {};
    // Status of the target's response; zero if there was none.
    unsigned status = 0;
};

// One attempt of a request at a target, with its lease. Records in the request that it was made, and in Dispatch what its
// target says of itself and how fast it responds. Used on one event loop. The lease has to be released explicitly: attempts
// that are in progress when a router ends are destroyed with the event loops, after the dispatch state.
class TargetAttempt {
public:
    using Failure = TargetExchange::Failure;

    TargetAttempt(std::shared_ptr<ProxyRequest>, Dispatch::Lease);
    // Releases the lease as that of an abandoned attempt, unless that has been done or the event loop has stopped.
    ~TargetAttempt();
    TargetAttempt(const TargetAttempt&) = delete;
    TargetAttempt& operator=(const TargetAttempt&) = delete;

    // Sends the request; a stream is to go on after the given event.
    boost::asio::awaitable<Failure> send(std::optional<uint64_t> lastEventId);

    // Reads the head of the response. Ends without one at the deadline, or when the weights of the target expire.
    boost::asio::awaitable<Failure> readHead();

    bool hasHead() const { return m_hasHead; }

    // Whether the response is a success that the target has sealed.
    bool isSuccess() const;

    // Whether the response can be forwarded as an event stream.
    bool isEventStream() const;

    // Whether the target states that it did not run the request. Such an attempt does not count as a run.
    bool isNotExecuted() const;

    // Ends the pending operation of the attempt, and those that follow.
    void cancel();
    // Takes that back.
    void goOn() { m_exchange.goOn(); }

    // The next part of the response is awaited from now on.
    void awaitPart() { m_awaitedSince = m_request->now(); }

    // Counts a part of the response. Once the target goes on to write, the prompt cannot have crashed it.
    void recordPart();

    // The target has been silent for longer than expected.
    void recordSilence();

    // Releases the lease, and records what the outcome says of the target and of the parts of the prompt.
    void release(const AttemptOutcome&);

    // Releases the lease of an attempt whose response is not needed.
    void abandon() { release({ true, Dispatch::Queries::AttemptEnd::Broken, Dispatch::Commands::AttemptResult::Abandoned }); }

    // What the failure of the attempt says of its target.
    AttemptOutcome failedAs(Dispatch::Queries::AttemptEnd, unsigned status = 0) const;

    const Dispatch::Lease& lease() const { return *m_lease; }
    // How long the target may be silent now.
    Base::Duration silenceLimit() const { return m_parts > 0 ? m_limits.betweenParts : m_limits.firstPart; }
    // As of the beginning of the attempt.
    const Dispatch::SilenceLimits& limits() const { return m_limits; }
    const std::string& targetId() const { return m_lease->target->entry.id; }
    TargetExchange& exchange() { return m_exchange; }

    // How often parts of the response arrived.
    unsigned parts() const { return m_parts; }

    // When the request had been sent, or the last part of the response arrived.
    Base::TimePoint lastHeardAt() const { return m_lastHeardAt; }

    // Bytes of the body that were read and have not been forwarded yet.
    std::string received;

private:
    Http::HttpRequest forwardedHead(std::optional<uint64_t> lastEventId) const;
    void recordStatement();
    void recordEvidence(const AttemptOutcome&);
    // When a request that has no response yet is withdrawn from its target.
    Base::TimePoint withdrawnBy() const;

    std::shared_ptr<ProxyRequest> m_request;
    HeldLease m_lease;
    Dispatch::SilenceLimits m_limits;
    TargetExchange m_exchange;
    bool m_hasHead = false;
    bool m_isSilent = false;
    unsigned m_parts = 0;
    Base::TimePoint m_sentAt {};
    Base::TimePoint m_lastHeardAt {};
    // The caller has read the earlier parts by then, so the time until the next one is the target's.
    Base::TimePoint m_awaitedSince {};
    Base::Duration m_longestPause { 0 };
};

} // namespace Lavenderloft::Proxy
