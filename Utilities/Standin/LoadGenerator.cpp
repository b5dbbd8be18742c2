#include "Standin/LoadGenerator.h"

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Http/HttpClient.h"
#include "Standin/JsonResponse.h"
#include "Standin/ResponseValidator.h"
#include "Standin/Timer.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>

namespace Lavenderloft::Standin {

namespace {

    constexpr unsigned clientThreads = 2;
    constexpr size_t maximumErrorBytes = 16 * 1024;

    std::string errorCodeOfResponse(unsigned status, const std::string& body)
    {
        auto error = parseObject(body);
        if (error && error->contains("error") && (*error)["error"].is_object() && (*error)["error"].contains("code") && (*error)["error"]["code"].is_string())
            return (*error)["error"]["code"];
        return "status_" + std::to_string(status);
    }

    std::string errorCodeOf(Http::HttpErrorKind kind)
    {
        switch (kind) {
        case Http::HttpErrorKind::NotSent:
            return "not_sent";
        case Http::HttpErrorKind::Broken:
            return "broken";
        case Http::HttpErrorKind::TimedOut:
            return "timed_out";
        case Http::HttpErrorKind::Cancelled:
            return "cancelled";
        }
        return "broken";
    }

} // namespace

struct LoadGenerator::State {
    explicit State(LoadOptions loadOptions)
        : options(std::move(loadOptions))
        , random(options.seed)
        , prefix(random.nextIdentifier().substr(0, 8))
    {
    }

    LoadOptions options;
    Base::SystemClock clock;
    Base::SeededRandom random;
    // Makes request identifiers unique across generators.
    std::string prefix;
    std::vector<std::shared_ptr<Caller>> callers;
    std::atomic<bool> stopping { false };
    std::atomic<uint64_t> nextRequest { 0 };
    std::mutex activeCallersLock;
    std::condition_variable allIdle;
    size_t activeCallers = 0;
    // Declared last, so that their threads end before the members that they use are destroyed.
    Timer timer;
    Http::HttpClient client { clientThreads };
};

// Sends its next request when the previous one has ended.
class LoadGenerator::Caller final : public std::enable_shared_from_this<Caller> {
public:
    Caller(State& state, unsigned number)
        : m_state(state)
        , m_number(number)
    {
    }

    void sendNext();

    LoadSummary summary() const
    {
        std::lock_guard guard(m_lock);
        return m_summary;
    }

private:
    class Sink;

    Http::HttpRequest makeRequest(const std::string& identifier) const
    {
        auto& options = m_state.options;
        Http::HttpRequest request;
        request.method = "POST";
        request.target = options.path;
        request.headers = { { "Content-Type", "application/json" } };
        if (!options.organisations.empty())
            request.headers.push_back({ "X-Organisation", options.organisations[m_number % options.organisations.size()] });
        if (!options.priority.empty())
            request.headers.push_back({ "X-Priority", options.priority });
        nlohmann::json body { { "prompt", identifier + " " + std::string(options.promptBytes, 'p') }, { "maxTokens", options.tokens } };
        request.body = body.dump();
        return request;
    }

    template <typename Function>
    void record(Function&& function)
    {
        std::lock_guard guard(m_lock);
        function(m_summary);
    }

    void endRequest(bool succeeded)
    {
        auto& options = m_state.options;
        auto pause = succeeded ? options.pause : options.errorPause;
        m_state.timer.runAfter(pause, [self = shared_from_this()] { self->sendNext(); });
    }

    void markIdle()
    {
        std::lock_guard guard(m_state.activeCallersLock);
        --m_state.activeCallers;
        m_state.allIdle.notify_all();
    }

    State& m_state;
    unsigned m_number;
    mutable std::mutex m_lock;
    LoadSummary m_summary;
};

// Receives and validates the response to one request.
class LoadGenerator::Caller::Sink final : public Http::ResponseSink {
public:
    Sink(std::shared_ptr<Caller> caller, std::string identifier)
        : m_caller(std::move(caller))
        , m_validator(std::move(identifier), m_caller->m_state.options.tokens)
        , m_startedAt(now())
    {
    }

    void head(unsigned status, Http::HttpHeaders headers) override
    {
        m_status = status;
        m_validator.setDigest(std::string(Http::headerValue(headers, "X-Weights-Digest")));
        m_validator.setAdapter(std::string(Http::headerValue(headers, "X-Adapter-Digest")));
    }

    void data(std::string bytes, std::function<void()> resume) override
    {
        if (m_status != 200) {
            if (m_errorBody.size() < maximumErrorBytes)
                m_errorBody += bytes;
            return resume();
        }
        m_validator.add(bytes);
        if (!m_firstTokenAt && m_validator.tokensReceived() > 0)
            m_firstTokenAt = now();
        resume();
    }

    void end(Base::Result<Base::Done, Http::HttpError> result) override
    {
        bool isComplete = Base::succeeded(result);
        auto endedAt = now();
        m_caller->record([&](LoadSummary& summary) {
            if (isComplete && m_status == 200)
                return recordResponse(summary, endedAt);
            if (recordFault(summary, m_validator.faultSoFar()))
                return;
            ++summary.failedByCode[isComplete ? errorCodeOfResponse(m_status, m_errorBody) : errorCodeOf(Base::errorOf(result).kind)];
        });
        m_caller->endRequest(isComplete && m_status == 200);
    }

private:
    Base::TimePoint now() const { return m_caller->m_state.clock.now(); }

    std::chrono::microseconds sinceStart(Base::TimePoint time) const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time - m_startedAt);
    }

    void recordResponse(LoadSummary& summary, Base::TimePoint endedAt)
    {
        auto verdict = m_validator.verdict();
        if (verdict != ResponseVerdict::Complete) {
            recordFault(summary, verdict);
            return;
        }
        ++summary.whole;
        ++summary.wholeByDigest[m_validator.digest()];
        summary.firstToken.push_back(sinceStart(m_firstTokenAt.value_or(endedAt)));
        summary.total.push_back(sinceStart(endedAt));
    }

    static bool recordFault(LoadSummary& summary, std::optional<ResponseVerdict> fault)
    {
        if (!fault)
            return false;
        if (*fault == ResponseVerdict::MixedWeights)
            ++summary.mixedWeights;
        else if (*fault == ResponseVerdict::WrongRequest)
            ++summary.foreignAnswers;
        else
            ++summary.incompleteTakenAsWhole;
        return true;
    }

    std::shared_ptr<Caller> m_caller;
    ResponseValidator m_validator;
    Base::TimePoint m_startedAt;
    std::optional<Base::TimePoint> m_firstTokenAt;
    unsigned m_status = 0;
    std::string m_errorBody;
};

void LoadGenerator::Caller::sendNext()
{
    if (m_state.stopping)
        return markIdle();
    auto& options = m_state.options;
    auto identifier = m_state.prefix + "-" + std::to_string(m_state.nextRequest++);
    {
        std::lock_guard guard(m_lock);
        ++m_summary.sent;
    }
    auto& router = options.routers[m_state.random.nextBelow(options.routers.size())];
    auto sink = std::make_shared<Sink>(shared_from_this(), identifier);
    m_state.client.send(router, makeRequest(identifier), options.idleTimeout, sink);
}

LoadGenerator::LoadGenerator(LoadOptions options)
    : m_state(std::make_shared<State>(std::move(options)))
{
    for (unsigned i = 0; i < m_state->options.callers; ++i)
        m_state->callers.push_back(std::make_shared<Caller>(*m_state, i));
}

LoadGenerator::~LoadGenerator()
{
    m_state->stopping = true;
}

void LoadGenerator::start()
{
    m_state->activeCallers = m_state->callers.size();
    for (auto& caller : m_state->callers)
        caller->sendNext();
}

LoadSummary LoadGenerator::finish()
{
    m_state->stopping = true;
    {
        std::unique_lock guard(m_state->activeCallersLock);
        m_state->allIdle.wait_for(guard, m_state->options.idleTimeout * 2, [&] { return m_state->activeCallers == 0; });
    }
    return summary();
}

LoadSummary LoadGenerator::summary() const
{
    LoadSummary total;
    for (auto& caller : m_state->callers)
        total.merge(caller->summary());
    return total;
}

} // namespace Lavenderloft::Standin
