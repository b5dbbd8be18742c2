#pragma once

#include "Admission/AdmissionRequest.h"
#include "Admission/Permit.h"
#include "Admission/Queries/AttemptOutcome.h"
#include "Admission/Refusal.h"
#include "Membership/Member.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Admission {

struct MessageHeader {
    std::string name;
    std::string value;
};

struct RequestHead {
    std::string permitId;
    std::string method;
    std::string path;
    std::vector<MessageHeader> headers;
};

struct ResponseHead {
    unsigned status = 0;
    std::vector<MessageHeader> headers;
    // Digest of the manifest that the answer comes from; empty for a plain service.
    std::string weightsDigest;
    // Whether the answer is the stored one of an earlier call with the same key.
    bool replayed = false;
    // Number of the first token, as the engine states it.
    uint64_t resumedFromToken = 0;
    // Digest of the adapter that answered; empty for the base model.
    std::string adapterDigest;
};

// How an answer ended. The numbers are those of the protocol.
enum class EndStatus {
    Complete = 1,
    // The target broke off; the outcome of the call is unknown.
    Broken = 2,
    WrongDigest = 3,
    Cancelled = 4,
    // The target was never reached.
    NotRun = 5,
};

struct ResponseEnd {
    EndStatus status = EndStatus::Complete;
    uint64_t totalBytes = 0;
    std::string message;
    bool engineCrashed = false;
};

// Takes what the agent has to say in one exchange. May be used from any thread, one call at a time.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    virtual void permit(const Permit&, const Membership::TargetLoad&) = 0;

    // Ends the exchange; the request was not run.
    virtual void refuse(const Refusal&, const Membership::TargetLoad&) = 0;

    virtual void head(const ResponseHead&) = 0;

    // The next part may be given only after `resume` was called, which gives back pressure.
    virtual void data(std::string bytes, std::function<void()> resume) = 0;

    // Ends the exchange.
    virtual void end(const ResponseEnd&, const Membership::TargetLoad&) = 0;
};

// The agent's side of one exchange with a router; the calls come one at a time.
class TargetExchange {
public:
    virtual ~TargetExchange() = default;

    virtual void admit(AdmissionRequest) = 0;
    virtual void head(RequestHead) = 0;
    virtual void body(std::string bytes) = 0;
    virtual void endOfBody() = 0;

    // The router is gone or has withdrawn the request. May come at any time, also after the end.
    virtual void cancelled() = 0;
};

struct AttemptResolution {
    Queries::AttemptOutcome outcome = Queries::AttemptOutcome::Unknown;
    uint64_t agentIncarnation = 0;
};

// What an agent offers to routers, whatever the protocol.
class TargetPort {
public:
    virtual ~TargetPort() = default;

    virtual std::shared_ptr<TargetExchange> open(std::shared_ptr<ResponseWriter>) = 0;

    // Revokes an unused permit and tells the outcome of the attempt.
    virtual AttemptResolution resolve(const std::string& attemptId, const std::string& permitId, uint64_t agentIncarnation) = 0;
};

} // namespace Lavenderloft::Admission
