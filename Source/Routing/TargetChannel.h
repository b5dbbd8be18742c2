#pragma once

#include "Base/Clock.h"
#include "Membership/Member.h"
#include "Routing/LiveRequest.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Lavenderloft::Routing {

// Request to an agent to admit an attempt.
struct AdmissionRequest {
    // Random identifier of the attempt.
    std::string attemptId;
    std::string requestId;
    std::string organisation;
    DesiredState::PriorityClass priorityClass = DesiredState::PriorityClass::Interactive;
    // Time left until the caller's deadline.
    Base::Duration timeLeft {};
    std::string destination;
    std::string weightsDigest;
    std::string key;
    bool repeatable = false;
    uint64_t bodyBytes = 0;
    uint64_t revision = 0;
    uint64_t fingerprint = 0;
    // First token requested; not zero if an interrupted response is resumed.
    uint64_t resumeFromToken = 0;
    // Digest of the requested adapter; empty for the base model.
    std::string adapter;
};

// Single-use admission of an attempt, granted by an agent.
struct Permit {
    std::string id;
    std::chrono::milliseconds lifetime {};
    uint64_t agentIncarnation = 0;
    uint64_t engineIncarnation = 0;
};

enum class RefusalKind {
    AtLimit,
    NotReady,
    Leaving,
    DataCentreOut,
    WrongDigest,
    NotKeyHome,
    KeyNotVouched,
    KeyRunning,
    KeyOutcomeUnknown,
    KeyMemoryFull,
    PermitExpired,
    TooLarge,
    Quarantined,
    UnknownPool,
    Deadline,
    KeyRequired,
    AdapterNotLoaded,
    Unspecified,
};

struct Refusal {
    RefusalKind kind = RefusalKind::Unspecified;
    std::string message;
    bool retryElsewhere = false;
    std::chrono::milliseconds retryAfter {};
};

struct ResponseHead {
    std::string attemptId;
    unsigned status = 0;
    Headers headers;
    std::string weightsDigest;
    // Whether this is the stored response of an earlier call with the same key.
    bool replayed = false;
    // First token, as reported by the engine.
    uint64_t resumedFromToken = 0;
    // Digest of the adapter that generated the response; empty for the base model.
    std::string adapterDigest;
};

struct ResponseData {
    std::string attemptId;
    std::string bytes;
};

enum class EndKind {
    Complete,
    // The target did not complete the response; the outcome of the call is unknown.
    Broken,
    WrongDigest,
    Cancelled,
    // The request did not reach the target.
    NotRun,
};

struct ResponseEnd {
    std::string attemptId;
    EndKind kind = EndKind::Broken;
    uint64_t totalBytes = 0;
    std::string message;
    bool engineCrashed = false;
};

// Receives the events of one attempt. Called on any thread, one call at a time; `closed` is the last call.
class AttemptEvents {
public:
    virtual ~AttemptEvents() = default;

    virtual void permitted(const Permit&) = 0;
    virtual void refused(const Refusal&) = 0;
    virtual void head(ResponseHead) = 0;

    // No further event, not even `closed`, follows until `resume` is called. This provides back pressure.
    virtual void data(ResponseData, std::function<void()> resume) = 0;

    virtual void ended(const ResponseEnd&) = 0;

    // The stream has closed. Without a preceding refusal or end, the attempt is broken.
    virtual void closed(const std::string& reason) = 0;

    // Load of the target, sent with each permit, refusal and end.
    virtual void loadReported(const Membership::TargetLoad&) = 0;
};

// One attempt to run a request at one target.
class Attempt {
public:
    virtual ~Attempt() = default;

    // Sends the admission request. Events may occur before the call returns.
    virtual void start() = 0;

    // Sends the request under the permit.
    virtual void send(const std::string& permitId, const CallerRequest&) = 0;

    // Cancels the attempt. No event follows.
    virtual void cancel() = 0;
};

// Outcome of an attempt, as reported by the agent.
enum class AttemptOutcome {
    // The attempt has not run and will not run.
    NotRun,
    Running,
    Complete,
    Unknown,
};

struct Resolution {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    uint64_t agentIncarnation = 0;
};

// The connection to one target's agent.
class TargetChannel {
public:
    virtual ~TargetChannel() = default;

    // Creates an attempt, which starts with Attempt::start.
    virtual std::shared_ptr<Attempt> open(const AdmissionRequest&, std::shared_ptr<AttemptEvents>) = 0;

    // Asks the agent to revoke the attempt's permit or report its outcome. Calls back once, with the outcome
    // Unknown if the agent does not answer before the timeout.
    virtual void resolve(const std::string& attemptId, const Permit&, Base::Duration timeout, std::function<void(Resolution)>) = 0;
};

// Provides the channels to agents by address.
class TargetChannels {
public:
    virtual ~TargetChannels() = default;
    virtual std::shared_ptr<TargetChannel> channelTo(const std::string& address) = 0;

    // Closes the channels to all other addresses after their attempts have ended.
    virtual void retain(const std::set<std::string>& addresses) = 0;
};

} // namespace Lavenderloft::Routing
