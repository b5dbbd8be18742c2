#include "Process/TargetRun.h"

#include "Admission/Commands/AdjustLimit.h"
#include "Admission/Commands/RunRequest.h"
#include "Admission/Queries/SilenceLimit.h"
#include "Http/EngineRequest.h"
#include "Http/ForwardedHeaders.h"

#include <algorithm>

namespace Lavenderloft::Process {

namespace {

    constexpr unsigned firstServerErrorStatus = 500;
    // An engine without weights responds with this status; it has not run the request.
    constexpr unsigned notReadyStatus = 503;
    constexpr std::string_view endOfStreamMarker = "[DONE]";
    // Large enough for the marker and a line ending.
    constexpr size_t tailBytes = 16;

    bool endsWithMarker(std::string_view tail)
    {
        while (!tail.empty() && (tail.back() == '\n' || tail.back() == '\r'))
            tail.remove_suffix(1);
        return tail.ends_with(endOfStreamMarker);
    }

    Admission::AttemptState attemptStateOf(Admission::EndStatus status)
    {
        switch (status) {
        case Admission::EndStatus::Complete:
            return Admission::AttemptState::Complete;
        case Admission::EndStatus::NotRun:
            return Admission::AttemptState::NotRun;
        default:
            return Admission::AttemptState::Broken;
        }
    }

} // namespace

TargetRun::TargetRun(std::shared_ptr<TargetContext> context, Admission::AdmissionRequest request, std::string admittedDigest, std::shared_ptr<Admission::ResponseWriter> writer)
    : m_context(std::move(context))
    , m_request(std::move(request))
    , m_admittedDigest(std::move(admittedDigest))
    , m_writer(std::move(writer))
{
}

void TargetRun::start(Http::HttpRequest request)
{
    auto call = m_context->client.send(m_context->endpoint, std::move(request), Admission::Queries::silenceLimit(m_request), shared_from_this());
    bool isCancelled = false;
    {
        std::lock_guard guard(m_lock);
        m_call = call;
        isCancelled = m_isCancelled;
    }
    if (isCancelled)
        call->cancel();
}

void TargetRun::abandon()
{
    {
        std::lock_guard guard(m_lock);
        m_writer.reset();
    }
    if (isKeyed())
        return resumeReading();
    cancelCall();
}

void TargetRun::cancelCall()
{
    std::shared_ptr<Http::HttpCall> call;
    {
        std::lock_guard guard(m_lock);
        m_isCancelled = true;
        call = m_call;
    }
    if (call)
        call->cancel();
}

void TargetRun::head(unsigned status, Http::HttpHeaders headers)
{
    bool isModel = m_context->kind == Settings::TargetKind::Model;
    std::string digest(Http::headerValue(headers, "X-Weights-Digest"));
    std::string adapter(Http::headerValue(headers, "X-Adapter-Digest"));
    bool isMismatch = digest != m_admittedDigest || adapter != m_request.adapter;
    // Error responses of an engine may carry no digest, since no weights generated them.
    if (isModel && isMismatch && (status == 200 || !digest.empty())) {
        m_hasDigestMismatch = true;
        return cancelCall();
    }
    // A model engine's error is not passed to the caller, because another replica may succeed.
    if (isModel && status >= firstServerErrorStatus) {
        m_engineErrorStatus = status;
        return cancelCall();
    }
    m_response.head.status = status;
    m_response.head.weightsDigest = isModel ? digest : std::string();
    m_response.head.resumedFromToken = isModel ? Http::resumedFrom(headers) : 0;
    m_response.head.adapterDigest = isModel ? adapter : std::string();
    for (auto& header : headers) {
        if (Http::isForwarded(header.name))
            m_response.head.headers.push_back({ header.name, header.value });
    }
    std::lock_guard guard(m_lock);
    if (m_writer)
        m_writer->head(m_response.head);
}

void TargetRun::recordBytes(const std::string& bytes)
{
    m_totalBytes += bytes.size();
    m_tail += bytes.substr(bytes.size() - std::min(bytes.size(), tailBytes));
    m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), tailBytes));
    if (!isKeyed() || m_isResponseTooLarge)
        return;
    m_response.body += bytes;
    if (m_response.body.size() > Admission::maximumStoredResponseBytes) {
        m_isResponseTooLarge = true;
        m_response.body.clear();
    }
}

void TargetRun::data(std::string bytes, std::function<void()> resume)
{
    if (m_hasDigestMismatch || m_engineErrorStatus)
        return;
    recordBytes(bytes);
    std::shared_ptr<Admission::ResponseWriter> writer;
    {
        std::lock_guard guard(m_lock);
        m_resume = std::move(resume);
        writer = m_writer;
    }
    if (!writer)
        return resumeReading();
    writer->data(std::move(bytes), [self = shared_from_this()] { self->resumeReading(); });
}

void TargetRun::resumeReading()
{
    std::function<void()> resume;
    {
        std::lock_guard guard(m_lock);
        resume = std::exchange(m_resume, nullptr);
    }
    if (resume)
        resume();
}

Admission::ResponseEnd TargetRun::makeResponseEnd(const Base::Result<Base::Done, Http::HttpError>& result) const
{
    Admission::ResponseEnd end;
    end.totalBytes = m_totalBytes;
    if (m_hasDigestMismatch) {
        end.status = Admission::EndStatus::WrongDigest;
        end.message = "the engine responded from weights other than " + m_admittedDigest + (m_request.adapter.empty() ? " without an adapter" : " with adapter " + m_request.adapter);
        return end;
    }
    if (m_engineErrorStatus) {
        end.status = m_engineErrorStatus == notReadyStatus ? Admission::EndStatus::NotRun : Admission::EndStatus::Broken;
        end.message = "the engine responded with status " + std::to_string(m_engineErrorStatus);
        return end;
    }
    if (!Base::succeeded(result)) {
        auto& error = Base::errorOf(result);
        end.status = Admission::EndStatus::Broken;
        if (error.kind == Http::HttpErrorKind::NotSent)
            end.status = Admission::EndStatus::NotRun;
        if (error.kind == Http::HttpErrorKind::Cancelled)
            end.status = Admission::EndStatus::Cancelled;
        end.engineCrashed = error.kind == Http::HttpErrorKind::Broken;
        end.message = error.describe();
        return end;
    }
    if (m_context->kind == Settings::TargetKind::Model && m_response.head.status == 200 && !endsWithMarker(m_tail)) {
        end.status = Admission::EndStatus::Broken;
        end.message = "the engine's response ended without the line " + std::string(endOfStreamMarker);
    }
    return end;
}

void TargetRun::end(Base::Result<Base::Done, Http::HttpError> result)
{
    finish(makeResponseEnd(result));
}

bool TargetRun::indicatesEngineFault(const Admission::ResponseEnd& end) const
{
    if (m_context->kind != Settings::TargetKind::Model)
        return false;
    return end.status == Admission::EndStatus::Broken || end.status == Admission::EndStatus::NotRun || end.status == Admission::EndStatus::WrongDigest;
}

void TargetRun::finish(const Admission::ResponseEnd& end)
{
    if (indicatesEngineFault(end)) {
        Admission::Commands::suspectEngine(m_context->state.limit);
        Admission::Commands::applyLimit(m_context->state);
    }
    // Permits were granted for the admitted weights; the engine now serves others or none.
    if (end.status == Admission::EndStatus::WrongDigest || m_engineErrorStatus == notReadyStatus)
        Admission::Commands::invalidatePermits(m_context->state, m_context->clock);
    Admission::Commands::RunResult result { attemptStateOf(end.status), m_response.head.status < firstServerErrorStatus, nullptr };
    if (isKeyed() && end.status == Admission::EndStatus::Complete && !m_isResponseTooLarge)
        result.response = std::make_shared<Admission::StoredResponse>(m_response);
    Admission::Commands::finishRequest(m_context->state, m_request, result, m_context->clock);
    m_context->metrics.count("lavenderloft_target_answers_total", { { "status", std::to_string(static_cast<int>(end.status)) } });
    std::shared_ptr<Admission::ResponseWriter> writer;
    {
        std::lock_guard guard(m_lock);
        writer = std::exchange(m_writer, nullptr);
        m_call.reset();
    }
    if (writer)
        writer->end(end, m_context->load());
    m_context->grantWaiting();
}

} // namespace Lavenderloft::Process
