#pragma once

#include "Proxy/CallerResponse.h"
#include "Proxy/ErrorResponder.h"
#include "Proxy/ProxyRequest.h"
#include "Proxy/ReplacementAttempt.h"
#include "Proxy/RequestLog.h"
#include "Proxy/ResponseListener.h"
#include "Proxy/SilenceTimer.h"
#include "Proxy/TargetAttempt.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string_view>

namespace Lavenderloft::Proxy {

// Handles one request of a caller, from its head to the end of the response. An attempt whose target is silent goes on until
// another target has responded; the response continues with whichever is first.
class RequestHandler final : public InterruptibleRequest, private ResponseListener, private ReplacementAttempt::Observer {
public:
    RequestHandler(ProxyContext&, ProxyWorker&, boost::beast::tcp_stream& caller, Http::HttpRequest, bool keepAlive);
    ~RequestHandler() override;

    // Sends the response. Returns whether the caller's connection can be used for another request.
    boost::asio::awaitable<bool> run();

    // Refuses the request, because there is no memory for its body. The rest of the request is not read, so the connection
    // can't be used again.
    boost::asio::awaitable<void> refuseForMemory();

    // InterruptibleRequest
    void endForStop() override;
    void cutForStop() override;

private:
    using AttemptEnd = Dispatch::Queries::AttemptEnd;
    using NextAttempt = std::variant<std::unique_ptr<TargetAttempt>, Dispatch::Refusal>;

    // Finds the route and organisation. Returns false if the request was rejected and the response has been sent.
    boost::asio::awaitable<bool> resolve();
    void prepareTraits();
    // Returns false if there is no memory for the parts of the prompt.
    bool prepareParts();

    boost::asio::awaitable<void> serve();
    // The replacement of the last attempt if there is one, and otherwise an attempt at any target. Nothing if all
    // replacements failed and no other attempt is allowed.
    boost::asio::awaitable<std::optional<NextAttempt>> nextAttempt();
    boost::asio::awaitable<std::unique_ptr<TargetAttempt>> takeReplacement();
    boost::asio::awaitable<std::optional<NextAttempt>> acquire();
    // Runs the attempt to its end and releases its lease.
    boost::asio::awaitable<AttemptOutcome> attempt(TargetAttempt&);
    boost::asio::awaitable<AttemptOutcome> exchange(TargetAttempt&);
    boost::asio::awaitable<AttemptOutcome> relay(TargetAttempt&);
    boost::asio::awaitable<AttemptOutcome> forward(TargetAttempt&);
    boost::asio::awaitable<AttemptOutcome> forwardEvents(TargetAttempt&);
    AttemptOutcome outcomeOf(const TargetAttempt&, const CallerResponse::Forwarded&, unsigned status, std::string_view reason);
    bool mayRetry(AttemptEnd) const;

    // ResponseListener
    bool awaitPart() override;
    void partReceived() override;

    // ReplacementAttempt::Observer
    void replacementSilent(ReplacementAttempt&) override;
    void replacementEnded(ReplacementAttempt&) override;

    void watchSilence();
    void targetSilent();
    // Whether a second target may run the request while the first one has it.
    bool mayReplace() const;
    void startReplacement();
    void abandonReplacements();

    ProxyContext& m_context;
    std::shared_ptr<ProxyRequest> m_request;
    CallerResponse m_response;
    RequestLog m_log;
    ErrorResponder m_responder;
    std::shared_ptr<SilenceTimer> m_silence;
    TargetAttempt* m_current = nullptr;
    // Each was started because the one before it was silent too.
    std::vector<std::shared_ptr<ReplacementAttempt>> m_replacements;
    // While the request waits for a target.
    std::shared_ptr<LeaseWaiter> m_waiter;
    // A replacement of the current attempt is ready, so the attempt was ended.
    bool m_isSuperseded = false;
    // The process stops, so there are no other attempts.
    bool m_isStopping = false;
};

} // namespace Lavenderloft::Proxy
