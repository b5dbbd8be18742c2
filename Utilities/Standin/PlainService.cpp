#include "Standin/PlainService.h"

#include "Base/Digest.h"
#include "Standin/Commands/PlainServiceCommands.h"
#include "Standin/Queries/PlainServiceQueries.h"
#include "Standin/StandinServer.h"

namespace Lavenderloft::Standin {

class PlainService::Server final : public StandinServer {
public:
    explicit Server(PlainServiceOptions options)
        : StandinServer(options.listen)
        , m_options(std::move(options))
    {
        m_state.delay = m_options.delay;
    }

    PlainServiceState& state() { return m_state; }

    void setSilent(bool silent)
    {
        m_state.silent = silent;
        if (silent)
            return;
        for (auto& stream : extractWithheld())
            stream->abort();
    }

    void handleServiceRequest(const RequestPath&, const Http::HttpRequest& request, const Stream& stream) override
    {
        if (Base::succeeded(Commands::consumeDropBeforeRun(m_state)))
            return stream->abort();
        execute(request, stream);
    }

private:
    void dropPendingResponses() override { extractWithheld(); }

    void execute(const Http::HttpRequest& request, const Stream& stream)
    {
        std::string callId(Http::headerValue(request.headers, "X-Call-Id"));
        if (callId.empty())
            callId = Base::sha256(request.body);
        Commands::recordExecution(m_state, callId);
        auto delay = m_state.delay.load();
        if (delay.count() == 0)
            return respond(callId, request, stream);
        timer().runAfter(delay, [weak = weakFrom(this), callId, request, stream] {
            if (auto self = weak.lock())
                self->respond(callId, request, stream);
        });
    }

    void respond(const std::string& callId, const Http::HttpRequest& request, const Stream& stream)
    {
        if (Base::succeeded(Commands::consumeDropAfterRun(m_state)))
            return stream->abort();
        if (m_state.silent)
            return withholdResponse(stream);
        auto execution = Queries::executionsOf(m_state, callId);
        respondJson(stream, 200, { { "callId", callId }, { "execution", execution }, { "method", request.method }, { "target", request.target }, { "body", request.body } });
    }

    void withholdResponse(const Stream& stream)
    {
        std::lock_guard guard(m_withheldLock);
        m_withheld.push_back(stream);
    }

    std::vector<std::shared_ptr<Http::ResponseStream>> extractWithheld()
    {
        std::lock_guard guard(m_withheldLock);
        return std::exchange(m_withheld, {});
    }

    void handleTestRequest(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        if (path.segment(1) == "executions" && request.method == "GET") {
            auto summary = Queries::executionSummary(m_state);
            return respondJson(stream, 200, { { "total", summary.total }, { "maximum", summary.maximum }, { "calls", summary.calls } });
        }
        auto body = parseObject(request.body);
        if (path.segment(1) != "faults" || request.method != "PUT" || !body)
            return respondNotFound(stream, request);
        if (body->contains("delayMs"))
            m_state.delay = std::chrono::milliseconds(body->at("delayMs").get<uint32_t>());
        if (body->contains("dropBeforeRun"))
            m_state.dropsBeforeRun = body->at("dropBeforeRun");
        if (body->contains("dropAfterRun"))
            m_state.dropsAfterRun = body->at("dropAfterRun");
        if (body->contains("silent"))
            setSilent(body->at("silent"));
        respondNoContent(stream);
    }

    PlainServiceOptions m_options;
    PlainServiceState m_state;
    std::mutex m_withheldLock;
    std::vector<std::shared_ptr<Http::ResponseStream>> m_withheld;
};

PlainService::PlainService(PlainServiceOptions options)
    : m_server(std::make_shared<Server>(std::move(options)))
{
    m_server->start();
}

PlainService::~PlainService()
{
    m_server->stop();
}

uint16_t PlainService::port() const
{
    return m_server->port();
}

void PlainService::setDelay(std::chrono::milliseconds delay)
{
    m_server->state().delay = delay;
}

void PlainService::dropBeforeRun(int calls)
{
    m_server->state().dropsBeforeRun = calls;
}

void PlainService::dropAfterRun(int calls)
{
    m_server->state().dropsAfterRun = calls;
}

void PlainService::setSilent(bool silent)
{
    m_server->setSilent(silent);
}

uint64_t PlainService::executionsOf(const std::string& callId) const
{
    return Queries::executionsOf(m_server->state(), callId);
}

ExecutionSummary PlainService::executions() const
{
    return Queries::executionSummary(m_server->state());
}

} // namespace Lavenderloft::Standin
