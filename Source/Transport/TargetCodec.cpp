#include "Transport/TargetCodec.h"

#include <algorithm>
#include <limits>

namespace Lavenderloft::Transport {

namespace {

    Routing::RefusalKind decodeReason(v1::RefusalReason reason)
    {
        using Routing::RefusalKind;
        switch (reason) {
        case v1::REFUSAL_REASON_AT_LIMIT:
            return RefusalKind::AtLimit;
        case v1::REFUSAL_REASON_NOT_READY:
            return RefusalKind::NotReady;
        case v1::REFUSAL_REASON_LEAVING:
            return RefusalKind::Leaving;
        case v1::REFUSAL_REASON_DATA_CENTRE_OUT:
            return RefusalKind::DataCentreOut;
        case v1::REFUSAL_REASON_WRONG_DIGEST:
            return RefusalKind::WrongDigest;
        case v1::REFUSAL_REASON_NOT_KEY_HOME:
            return RefusalKind::NotKeyHome;
        case v1::REFUSAL_REASON_KEY_NOT_VOUCHED:
            return RefusalKind::KeyNotVouched;
        case v1::REFUSAL_REASON_KEY_RUNNING:
            return RefusalKind::KeyRunning;
        case v1::REFUSAL_REASON_KEY_OUTCOME_UNKNOWN:
            return RefusalKind::KeyOutcomeUnknown;
        case v1::REFUSAL_REASON_KEY_MEMORY_FULL:
            return RefusalKind::KeyMemoryFull;
        case v1::REFUSAL_REASON_PERMIT_EXPIRED:
            return RefusalKind::PermitExpired;
        case v1::REFUSAL_REASON_TOO_LARGE:
            return RefusalKind::TooLarge;
        case v1::REFUSAL_REASON_QUARANTINED:
            return RefusalKind::Quarantined;
        case v1::REFUSAL_REASON_UNKNOWN_POOL:
            return RefusalKind::UnknownPool;
        case v1::REFUSAL_REASON_DEADLINE:
            return RefusalKind::Deadline;
        case v1::REFUSAL_REASON_KEY_REQUIRED:
            return RefusalKind::KeyRequired;
        case v1::REFUSAL_REASON_ADAPTER_NOT_LOADED:
            return RefusalKind::AdapterNotLoaded;
        default:
            return RefusalKind::Unspecified;
        }
    }

    Routing::EndKind decodeStatus(v1::EndStatus status)
    {
        using Routing::EndKind;
        switch (status) {
        case v1::END_STATUS_COMPLETE:
            return EndKind::Complete;
        case v1::END_STATUS_WRONG_DIGEST:
            return EndKind::WrongDigest;
        case v1::END_STATUS_CANCELLED:
            return EndKind::Cancelled;
        case v1::END_STATUS_NOT_RUN:
            return EndKind::NotRun;
        default:
            return EndKind::Broken;
        }
    }

    Routing::AttemptOutcome decodeOutcome(v1::AttemptOutcome outcome)
    {
        using Routing::AttemptOutcome;
        switch (outcome) {
        case v1::ATTEMPT_OUTCOME_NOT_RUN:
            return AttemptOutcome::NotRun;
        case v1::ATTEMPT_OUTCOME_RUNNING:
            return AttemptOutcome::Running;
        case v1::ATTEMPT_OUTCOME_COMPLETE:
            return AttemptOutcome::Complete;
        default:
            return AttemptOutcome::Unknown;
        }
    }

    uint32_t toMilliseconds(Base::Duration duration)
    {
        auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, std::numeric_limits<uint32_t>::max()));
    }

} // namespace

v1::Admit encodeAdmission(const Routing::AdmissionRequest& admission)
{
    v1::Admit admit;
    admit.set_attempt_id(admission.attemptId);
    admit.set_request_id(admission.requestId);
    admit.set_organisation(admission.organisation);
    admit.set_priority_class(static_cast<uint32_t>(admission.priorityClass));
    admit.set_deadline_ms(toMilliseconds(admission.timeLeft));
    admit.set_pool(admission.destination);
    admit.set_weights_digest(admission.weightsDigest);
    admit.set_idempotency_key(admission.key);
    admit.set_repeatable(admission.repeatable);
    admit.set_body_bytes(admission.bodyBytes);
    admit.set_revision(admission.revision);
    admit.set_fingerprint(admission.fingerprint);
    admit.set_resume_from_token(admission.resumeFromToken);
    admit.set_adapter_digest(admission.adapter);
    return admit;
}

v1::RequestHead encodeHead(const std::string& permitId, const Routing::CallerRequest& request)
{
    v1::RequestHead head;
    head.set_permit_id(permitId);
    head.set_method(request.method);
    head.set_path(request.path);
    for (auto& header : request.headers) {
        auto* encoded = head.add_headers();
        encoded->set_name(header.name);
        encoded->set_value(header.value);
    }
    return head;
}

Routing::Permit decodePermit(const v1::Permit& permit)
{
    return { permit.permit_id(), std::chrono::milliseconds(permit.lifetime_ms()), permit.agent_incarnation(), permit.engine_incarnation() };
}

Routing::Refusal decodeRefusal(const v1::Refusal& refusal)
{
    return { decodeReason(refusal.reason()), refusal.message(), refusal.retry_elsewhere(), std::chrono::milliseconds(refusal.retry_after_ms()) };
}

Routing::ResponseHead decodeHead(v1::ResponseHead&& head)
{
    Routing::ResponseHead decoded;
    decoded.attemptId = std::move(*head.mutable_attempt_id());
    decoded.status = head.status();
    for (auto& header : head.headers())
        decoded.headers.push_back({ header.name(), header.value() });
    decoded.weightsDigest = std::move(*head.mutable_weights_digest());
    decoded.replayed = head.replayed();
    decoded.resumedFromToken = head.resumed_from_token();
    decoded.adapterDigest = std::move(*head.mutable_adapter_digest());
    return decoded;
}

Routing::ResponseEnd decodeEnd(const v1::ResponseEnd& end)
{
    return { end.attempt_id(), decodeStatus(end.status()), end.total_bytes(), end.message(), end.engine_crashed() };
}

Routing::Resolution decodeResolution(const v1::ResolveAttemptResponse& response)
{
    return { decodeOutcome(response.outcome()), response.agent_incarnation() };
}

Membership::TargetLoad decodeLoad(const v1::TargetLoad& load)
{
    return { load.running(), load.limit(), load.queued(), load.held_bytes(), load.accepting() };
}

} // namespace Lavenderloft::Transport
