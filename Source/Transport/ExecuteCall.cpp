#include "Transport/ExecuteCall.h"

#include "Transport/TargetCodec.h"

namespace Lavenderloft::Transport {

namespace {

    // Request bodies are sent in parts of this size, so that a large body does not delay other streams.
    constexpr size_t bodyPartBytes = 64 * 1024;

    // The agent ends an attempt at its deadline. The deadline of the stream is later and only ends a stream whose
    // agent does not respond.
    constexpr std::chrono::seconds streamDeadlineMargin { 1 };

} // namespace

ExecuteCall::ExecuteCall(std::shared_ptr<v1::TargetService::Stub> stub, const Routing::AdmissionRequest& admission, std::shared_ptr<Routing::AttemptEvents> events, FinishedCallback finished)
    : m_stub(std::move(stub))
    , m_finished(std::move(finished))
    , m_events(std::move(events))
{
    m_context.set_deadline(std::chrono::system_clock::now() + admission.timeLeft + streamDeadlineMargin);
    *m_writes.emplace_back().mutable_admit() = encodeAdmission(admission);
}

void ExecuteCall::start()
{
    m_self = shared_from_this();
    m_stub->async()->Execute(&m_context, this);
    m_hasHold = true;
    AddHold();
    StartWrite(&m_writes.front());
    StartRead(&m_response);
    StartCall();
}

void ExecuteCall::send(const std::string& permitId, const Routing::CallerRequest& request)
{
    std::lock_guard guard(m_lock);
    if (!m_hasHold)
        return;
    bool isIdle = m_writes.empty();
    *m_writes.emplace_back().mutable_head() = encodeHead(permitId, request);
    for (size_t offset = 0; offset < request.body.size(); offset += bodyPartBytes)
        m_writes.emplace_back().set_body(request.body.substr(offset, bodyPartBytes));
    m_writes.emplace_back().set_end_of_body(true);
    if (isIdle)
        writeNext();
}

void ExecuteCall::writeNext()
{
    if (!m_writes.empty())
        StartWrite(&m_writes.front());
}

void ExecuteCall::OnWriteDone(bool ok)
{
    std::unique_lock guard(m_lock);
    if (ok) {
        m_writes.pop_front();
        if (m_hasHold)
            writeNext();
        return;
    }
    m_writes.clear();
    m_hasWriteFailed = true;
    guard.unlock();
    // gRPC can move a call from a connection that has just failed to a new one and still report its writes as
    // failed. Such a stream would stay open without the rest of the request.
    m_context.TryCancel();
}

void ExecuteCall::cancel()
{
    {
        std::lock_guard guard(m_lock);
        m_events.reset();
    }
    m_context.TryCancel();
    releaseHold();
}

void ExecuteCall::releaseHold()
{
    {
        std::lock_guard guard(m_lock);
        if (!std::exchange(m_hasHold, false))
            return;
    }
    RemoveHold();
}

std::shared_ptr<Routing::AttemptEvents> ExecuteCall::events()
{
    std::lock_guard guard(m_lock);
    return m_events;
}

void ExecuteCall::OnReadDone(bool ok)
{
    if (!ok)
        return releaseHold();
    if (auto receiver = events())
        deliver(receiver);
    else
        readNext();
}

void ExecuteCall::deliver(const std::shared_ptr<Routing::AttemptEvents>& receiver)
{
    if (m_response.has_load())
        receiver->loadReported(decodeLoad(m_response.load()));
    switch (m_response.kind_case()) {
    case v1::ExecuteResponse::kPermit:
        receiver->permitted(decodePermit(m_response.permit()));
        break;
    case v1::ExecuteResponse::kRefusal:
        receiver->refused(decodeRefusal(m_response.refusal()));
        break;
    case v1::ExecuteResponse::kHead:
        receiver->head(decodeHead(std::move(*m_response.mutable_head())));
        break;
    case v1::ExecuteResponse::kData: {
        auto& data = *m_response.mutable_data();
        return receiver->data({ std::move(*data.mutable_attempt_id()), std::move(*data.mutable_bytes()) }, [self = shared_from_this()] { self->readNext(); });
    }
    case v1::ExecuteResponse::kEnd:
        receiver->ended(decodeEnd(m_response.end()));
        break;
    case v1::ExecuteResponse::KIND_NOT_SET:
        break;
    }
    readNext();
}

void ExecuteCall::readNext()
{
    std::lock_guard guard(m_lock);
    if (m_hasHold)
        StartRead(&m_response);
}

void ExecuteCall::OnDone(const grpc::Status& status)
{
    bool isConnectionUsable = status.error_code() != grpc::StatusCode::UNAVAILABLE && status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED;
    std::shared_ptr<Routing::AttemptEvents> receiver;
    {
        std::lock_guard guard(m_lock);
        isConnectionUsable = isConnectionUsable && (status.ok() || !m_hasWriteFailed);
        receiver = std::move(m_events);
        m_hasHold = false;
    }
    m_finished(isConnectionUsable);
    if (receiver)
        receiver->closed(status.ok() ? "the agent closed the stream" : status.error_message());
    auto self = std::move(m_self);
}

} // namespace Lavenderloft::Transport
