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

// What an attempt asks a target's agent to admit.
struct AdmissionRequest {
    // Drawn at random for each attempt.
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
    // Number of the first token wanted; not zero for the rest of an answer whose stream broke.
    uint64_t resumeFromToken = 0;
    // Digest of the adapter that is to answer; empty for the base model.
    std::string adapter;
};

// A single-use admission granted by an agent.
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
    // The answer is a stored one of an earlier call with the same key.
    bool replayed = false;
    // Number of the first token, as the engine states it.
    uint64_t resumedFromToken = 0;
    // Digest of the adapter that answered; empty for the base model.
    std::string adapterDigest;
};

struct ResponseData {
    std::string attemptId;
    std::string bytes;
};

enum class EndKind {
    Complete,
    // The target broke off; the outcome of the call is unknown.
    Broken,
    WrongDigest,
    Cancelled,
    // The target was never reached.
    NotRun,
};

struct ResponseEnd {
    std::string attemptId;
    EndKind kind = EndKind::Broken;
    uint64_t totalBytes = 0;
    std::string message;
    bool engineCrashed = false;
};

// Receives what becomes of one attempt. Calls come one at a time, on any thread; `closed` is the last.
class AttemptEvents {
public:
    virtual ~AttemptEvents() = default;

    virtual void permitted(const Permit&) = 0;
    virtual void refused(const Refusal&) = 0;
    virtual void head(ResponseHead) = 0;

    // No further event comes until `resume` is called, not even `closed`, which gives back pressure.
    virtual void data(ResponseData, std::function<void()> resume) = 0;

    virtual void ended(const ResponseEnd&) = 0;

    // The stream is over. Without a refusal or an end before, the attempt broke.
    virtual void closed(const std::string& reason) = 0;

    // The target's load, which comes with permits, refusals and ends.
    virtual void loadReported(const Membership::TargetLoad&) = 0;
};

// One attempt to run a request at one target.
class Attempt {
public:
    virtual ~Attempt() = default;

    // Sends the admission request. Events may come before the call returns.
    virtual void start() = 0;

    // Sends the request under the permit.
    virtual void send(const std::string& permitId, const CallerRequest&) = 0;

    // Gives the attempt up; no event follows.
    virtual void cancel() = 0;
};

// What an agent says became of an attempt.
enum class AttemptOutcome {
    // Certainly not run, and it will not run.
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

    // Prepares an attempt, which begins with Attempt::start.
    virtual std::shared_ptr<Attempt> open(const AdmissionRequest&, std::shared_ptr<AttemptEvents>) = 0;

    // Asks the agent to revoke the attempt's permit or to tell its outcome. Calls back once; no answer
    // within the time-out counts as unknown.
    virtual void resolve(const std::string& attemptId, const Permit&, Base::Duration timeout, std::function<void(Resolution)>) = 0;
};

// Gives the channel to the agent at an address.
class TargetChannels {
public:
    virtual ~TargetChannels() = default;
    virtual std::shared_ptr<TargetChannel> channelTo(const std::string& address) = 0;

    // Closes the channels to all other addresses once their attempts have ended.
    virtual void retain(const std::set<std::string>& addresses) = 0;
};

} // namespace Lavenderloft::Routing
