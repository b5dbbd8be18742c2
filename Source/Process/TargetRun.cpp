#include "Process/TargetRun.h"

#include "Admission/Commands/AdjustLimit.h"
#include "Admission/Commands/RunRequest.h"
#include "Http/EngineRequest.h"
#include "Http/ForwardedHeaders.h"

#include <algorithm>

namespace Lavenderloft::Process {

namespace {

    constexpr std::chrono::milliseconds longestSilence { 60000 };
    constexpr unsigned firstServerError = 500;
    // An engine that has no weights answers so; it has not run the request.
    constexpr unsigned notReadyStatus = 503;
    constexpr std::string_view lastLine = "[DONE]";
    // Room for the last line and its line end.
    constexpr size_t tailBytes = 16;

    std::chrono::milliseconds silenceLimit(const Admission::AdmissionRequest& request)
    {
        return request.deadline.count() ? std::min(request.deadline, longestSilence) : longestSilence;
    }

    bool endsWithLastLine(std::string_view tail)
    {
        while (!tail.empty() && (tail.back() == '\n' || tail.back() == '\r'))
            tail.remove_suffix(1);
        return tail.ends_with(lastLine);
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

TargetRun::TargetRun(std::shared_ptr<TargetContext> context, Admission::AdmissionRequest request, std::string admittedDigest, std::shared_ptr<Admission::ResponseWriter> sink)
    : m_context(std::move(context))
    , m_request(std::move(request))
    , m_admittedDigest(std::move(admittedDigest))
    , m_sink(std::move(sink))
{
}

void TargetRun::start(Http::HttpRequest request)
{
    auto call = m_context->client.send(m_context->endpoint, std::move(request), silenceLimit(m_request), shared_from_this());
    bool cancelNow = false;
    {
        std::lock_guard guard(m_lock);
        m_call = call;
        cancelNow = m_isCancelled;
    }
    if (cancelNow)
        call->cancel();
}

void TargetRun::abandon()
{
    {
        std::lock_guard guard(m_lock);
        m_sink.reset();
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
    bool isOther = digest != m_admittedDigest || adapter != m_request.adapter;
    // Only a success comes from weights; an error of the engine names none.
    if (isModel && isOther && (status == 200 || !digest.empty())) {
        m_hasOtherDigest = true;
        return cancelCall();
    }
    // A model engine's error is no answer to the caller; another replica may do better.
    if (isModel && status >= firstServerError) {
        m_engineError = status;
        return cancelCall();
    }
    m_answer.head.status = status;
    m_answer.head.weightsDigest = isModel ? digest : std::string();
    m_answer.head.resumedFromToken = isModel ? Http::resumedFrom(headers) : 0;
    m_answer.head.adapterDigest = isModel ? adapter : std::string();
    for (auto& header : headers) {
        if (Http::isForwarded(header.name))
            m_answer.head.headers.push_back({ header.name, header.value });
    }
    std::lock_guard guard(m_lock);
    if (m_sink)
        m_sink->head(m_answer.head);
}

void TargetRun::noteBytes(const std::string& bytes)
{
    m_totalBytes += bytes.size();
    m_tail += bytes.substr(bytes.size() - std::min(bytes.size(), tailBytes));
    m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), tailBytes));
    if (!isKeyed() || m_isAnswerTooLarge)
        return;
    m_answer.body += bytes;
    if (m_answer.body.size() > Admission::maximumStoredResponseBytes) {
        m_isAnswerTooLarge = true;
        m_answer.body.clear();
    }
}

void TargetRun::data(std::string bytes, std::function<void()> resume)
{
    if (m_hasOtherDigest || m_engineError)
        return;
    noteBytes(bytes);
    std::shared_ptr<Admission::ResponseWriter> sink;
    {
        std::lock_guard guard(m_lock);
        m_resume = std::move(resume);
        sink = m_sink;
    }
    if (!sink)
        return resumeReading();
    sink->data(std::move(bytes), [self = shared_from_this()] { self->resumeReading(); });
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

Admission::ResponseEnd TargetRun::judgeEnd(const Base::Result<Base::Done, Http::HttpError>& result) const
{
    Admission::ResponseEnd end;
    end.totalBytes = m_totalBytes;
    if (m_hasOtherDigest) {
        end.status = Admission::EndStatus::WrongDigest;
        end.message = "the engine answered from other weights than " + m_admittedDigest + (m_request.adapter.empty() ? " without an adapter" : " with adapter " + m_request.adapter);
        return end;
    }
    if (m_engineError) {
        end.status = m_engineError == notReadyStatus ? Admission::EndStatus::NotRun : Admission::EndStatus::Broken;
        end.message = "the engine answered with status " + std::to_string(m_engineError);
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
    if (m_context->kind == Settings::TargetKind::Model && m_answer.head.status == 200 && !endsWithLastLine(m_tail)) {
        end.status = Admission::EndStatus::Broken;
        end.message = "the engine's answer ended without its last line";
    }
    return end;
}

void TargetRun::end(Base::Result<Base::Done, Http::HttpError> result)
{
    finish(judgeEnd(result));
}

bool TargetRun::isSuspicious(const Admission::ResponseEnd& end) const
{
    if (m_context->kind != Settings::TargetKind::Model)
        return false;
    return end.status == Admission::EndStatus::Broken || end.status == Admission::EndStatus::NotRun || end.status == Admission::EndStatus::WrongDigest;
}

void TargetRun::finish(const Admission::ResponseEnd& end)
{
    if (isSuspicious(end)) {
        Admission::Commands::suspectEngine(m_context->state.limit);
        Admission::Commands::applyLimit(m_context->state);
    }
    // The engine has other weights or none; permits were granted for the admitted ones.
    if (end.status == Admission::EndStatus::WrongDigest || m_engineError == notReadyStatus)
        Admission::Commands::invalidatePermits(m_context->state, m_context->clock);
    Admission::Commands::RunResult result { attemptStateOf(end.status), m_answer.head.status < firstServerError, nullptr };
    if (isKeyed() && end.status == Admission::EndStatus::Complete && !m_isAnswerTooLarge)
        result.response = std::make_shared<Admission::StoredResponse>(m_answer);
    Admission::Commands::finishRequest(m_context->state, m_request, result, m_context->clock);
    m_context->metrics.count("lavenderloft_target_answers_total", { { "status", std::to_string(static_cast<int>(end.status)) } });
    std::shared_ptr<Admission::ResponseWriter> sink;
    {
        std::lock_guard guard(m_lock);
        sink = std::exchange(m_sink, nullptr);
        m_call.reset();
    }
    if (sink)
        sink->end(end, m_context->load());
    m_context->grantWaiting();
}

} // namespace Lavenderloft::Process
