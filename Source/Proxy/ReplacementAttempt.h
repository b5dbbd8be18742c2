#pragma once

#include "Dispatch/Decision.h"
#include "Proxy/EventSplitter.h"
#include "Proxy/LeaseWaiter.h"
#include "Proxy/SilenceTimer.h"
#include "Proxy/TargetAttempt.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace Lavenderloft::Proxy {

// An attempt at a second target while the first one is silent. It is ready once its target has sent what can be forwarded:
// a whole short response, the first part of a longer one, or the next event of a stream. Until then the first attempt may
// still go on. Used on one event loop.
class ReplacementAttempt : public std::enable_shared_from_this<ReplacementAttempt> {
public:
    class Observer {
    public:
        virtual ~Observer() = default;
        // The target of the replacement is silent as well.
        virtual void replacementSilent(ReplacementAttempt&) = 0;
        // The replacement is ready or has failed. Called once.
        virtual void replacementEnded(ReplacementAttempt&) = 0;
    };

    enum class State {
        Waiting,
        Running,
        Ready,
        Failed,
        Abandoned,
    };

    // The splitter holds the position from which a stream has to go on. A continuation follows a part of the response that
    // the caller has already. The observer must live until the replacement has ended or is abandoned.
    ReplacementAttempt(std::shared_ptr<ProxyRequest>, Observer&, EventSplitter position, std::optional<uint64_t> lastEventId, bool isContinuation);

    void start();

    // Ends the replacement. The observer is no longer told.
    void abandon();

    // Returns when the replacement is ready or has failed.
    boost::asio::awaitable<void> waitUntilEnded();

    State state() const { return m_state; }

    // Why there was no target for it.
    const std::optional<Dispatch::Refusal>& refusal() const { return m_refusal; }

    // The attempt if it is ready, and otherwise null.
    std::unique_ptr<TargetAttempt> take() { return m_state == State::Ready ? std::move(m_attempt) : nullptr; }

private:
    bool isAbandoned() const { return m_state == State::Abandoned; }
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> attempt();
    boost::asio::awaitable<void> acquire();
    boost::asio::awaitable<TargetAttempt::Failure> sendAndRead();
    // Whether the response can be sent to the caller in place of the one that is awaited from the first target.
    bool isForwardable() const;
    // Reads until there is something to forward.
    boost::asio::awaitable<TargetAttempt::Failure> readFirstPart();
    boost::asio::awaitable<TargetAttempt::Failure> readFirstEvent();
    boost::asio::awaitable<TargetAttempt::Failure> readBody();
    void targetSilent();
    void discardAttempt();
    void fail(Dispatch::Queries::AttemptEnd);
    void endIfUnfinished();
    void end(State);

    std::shared_ptr<ProxyRequest> m_request;
    Observer& m_observer;
    EventSplitter m_position;
    std::optional<uint64_t> m_lastEventId;
    const bool m_isContinuation;
    std::shared_ptr<SilenceTimer> m_silence;
    State m_state = State::Waiting;
    std::shared_ptr<LeaseWaiter> m_waiter;
    std::unique_ptr<TargetAttempt> m_attempt;
    std::optional<Dispatch::Refusal> m_refusal;
    boost::asio::steady_timer m_ended;
};

} // namespace Lavenderloft::Proxy
