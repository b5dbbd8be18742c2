#include "Transport/TargetMessages.h"

namespace Lavenderloft::Transport {

namespace {

    DesiredState::PriorityClass decodeClass(uint32_t number)
    {
        // A class that is unknown to this version gets the lowest priority.
        if (number >= DesiredState::priorityClassCount)
            return DesiredState::PriorityClass::Summary;
        return static_cast<DesiredState::PriorityClass>(number);
    }

    uint32_t toMilliseconds(Base::Duration duration)
    {
        auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<uint32_t>(std::max<int64_t>(count, 0));
    }

} // namespace

Admission::AdmissionRequest decodeAdmit(const protocol::Admit& message)
{
    Admission::AdmissionRequest request;
    request.attemptId = message.attempt_id();
    request.requestId = message.request_id();
    request.organisation = message.organisation();
    request.priorityClass = decodeClass(message.priority_class());
    request.deadline = std::chrono::milliseconds(message.deadline_ms());
    request.pool = message.pool();
    request.weightsDigest = message.weights_digest();
    request.idempotencyKey = message.idempotency_key();
    request.repeatable = message.repeatable();
    request.bodyBytes = message.body_bytes();
    request.revision = message.revision();
    request.fingerprint = message.fingerprint();
    request.resumeFromToken = message.resume_from_token();
    request.adapter = message.adapter_digest();
    return request;
}

Admission::RequestHead decodeHead(const protocol::RequestHead& message)
{
    Admission::RequestHead head { message.permit_id(), message.method(), message.path(), {} };
    for (auto& header : message.headers())
        head.headers.push_back({ header.name(), header.value() });
    return head;
}

protocol::TargetLoad encodeLoad(const Membership::TargetLoad& load)
{
    protocol::TargetLoad message;
    message.set_running(load.running);
    message.set_limit(load.limit);
    message.set_queued(load.queued);
    message.set_held_bytes(load.heldBytes);
    message.set_accepting(load.accepting);
    return message;
}

protocol::ExecuteResponse encodePermit(const Admission::Permit& permit, const Membership::TargetLoad& load, Base::TimePoint now)
{
    protocol::ExecuteResponse message;
    message.mutable_permit()->set_permit_id(permit.id);
    message.mutable_permit()->set_lifetime_ms(toMilliseconds(permit.expiresAt - now));
    message.mutable_permit()->set_agent_incarnation(permit.agentIncarnation);
    message.mutable_permit()->set_engine_incarnation(permit.engineIncarnation);
    *message.mutable_load() = encodeLoad(load);
    return message;
}

protocol::ExecuteResponse encodeRefusal(const Admission::Refusal& refusal, const Membership::TargetLoad& load)
{
    protocol::ExecuteResponse message;
    message.mutable_refusal()->set_reason(static_cast<protocol::RefusalReason>(refusal.kind));
    message.mutable_refusal()->set_message(refusal.describe());
    message.mutable_refusal()->set_retry_elsewhere(refusal.retryElsewhere);
    message.mutable_refusal()->set_retry_after_ms(toMilliseconds(refusal.retryAfter));
    *message.mutable_load() = encodeLoad(load);
    return message;
}

protocol::ExecuteResponse encodeResponseHead(const std::string& attemptId, const Admission::ResponseHead& head)
{
    protocol::ExecuteResponse message;
    message.mutable_head()->set_attempt_id(attemptId);
    message.mutable_head()->set_status(head.status);
    message.mutable_head()->set_weights_digest(head.weightsDigest);
    message.mutable_head()->set_replayed(head.replayed);
    message.mutable_head()->set_resumed_from_token(head.resumedFromToken);
    message.mutable_head()->set_adapter_digest(head.adapterDigest);
    for (auto& header : head.headers) {
        auto* entry = message.mutable_head()->add_headers();
        entry->set_name(header.name);
        entry->set_value(header.value);
    }
    return message;
}

protocol::ExecuteResponse encodeData(const std::string& attemptId, std::string bytes)
{
    protocol::ExecuteResponse message;
    message.mutable_data()->set_attempt_id(attemptId);
    message.mutable_data()->set_bytes(std::move(bytes));
    return message;
}

protocol::ExecuteResponse encodeEnd(const std::string& attemptId, const Admission::ResponseEnd& end, const Membership::TargetLoad& load)
{
    protocol::ExecuteResponse message;
    message.mutable_end()->set_attempt_id(attemptId);
    message.mutable_end()->set_status(static_cast<protocol::EndStatus>(end.status));
    message.mutable_end()->set_total_bytes(end.totalBytes);
    message.mutable_end()->set_message(end.message);
    message.mutable_end()->set_engine_crashed(end.engineCrashed);
    *message.mutable_load() = encodeLoad(load);
    return message;
}

} // namespace Lavenderloft::Transport
