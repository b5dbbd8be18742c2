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
    // Manifest digest of the weights that generated the response; empty for a plain service.
    std::string weightsDigest;
    // Whether this is the stored response of an earlier call with the same key.
    bool replayed = false;
    // First token, as reported by the engine.
    uint64_t resumedFromToken = 0;
    // Digest of the adapter that generated the response; empty for the base model.
    std::string adapterDigest;
};

// How a response ended, with the numbers of the protocol.
enum class EndStatus {
    Complete = 1,
    // The target did not complete the response; the outcome of the call is unknown.
    Broken = 2,
    WrongDigest = 3,
    Cancelled = 4,
    // The request did not reach the target.
    NotRun = 5,
};

struct ResponseEnd {
    EndStatus status = EndStatus::Complete;
    uint64_t totalBytes = 0;
    std::string message;
    bool engineCrashed = false;
};

// Writes the agent's messages of one exchange. May be called on any thread, one call at a time.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    virtual void permit(const Permit&, const Membership::TargetLoad&) = 0;

    // Ends the exchange. The request was not run.
    virtual void refuse(const Refusal&, const Membership::TargetLoad&) = 0;

    virtual void head(const ResponseHead&) = 0;

    // The next part may follow only after `resume` is called. This provides back pressure.
    virtual void data(std::string bytes, std::function<void()> resume) = 0;

    // Ends the exchange.
    virtual void end(const ResponseEnd&, const Membership::TargetLoad&) = 0;
};

// The agent's side of one exchange with a router. Called one call at a time.
class TargetExchange {
public:
    virtual ~TargetExchange() = default;

    virtual void admit(AdmissionRequest) = 0;
    virtual void head(RequestHead) = 0;
    virtual void body(std::string bytes) = 0;
    virtual void endOfBody() = 0;

    // The router has disconnected or cancelled the request. May be called at any time, even after the end.
    virtual void cancelled() = 0;
};

struct AttemptResolution {
    Queries::AttemptOutcome outcome = Queries::AttemptOutcome::Unknown;
    uint64_t agentIncarnation = 0;
};

// The agent's interface to routers, independent of the protocol.
class TargetPort {
public:
    virtual ~TargetPort() = default;

    virtual std::shared_ptr<TargetExchange> open(std::shared_ptr<ResponseWriter>) = 0;

    // Revokes an unused permit and returns the outcome of the attempt.
    virtual AttemptResolution resolve(const std::string& attemptId, const std::string& permitId, uint64_t agentIncarnation) = 0;
};

} // namespace Lavenderloft::Admission
