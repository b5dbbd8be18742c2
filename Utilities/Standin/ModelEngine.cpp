#include "Standin/ModelEngine.h"

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Http/HttpServer.h"
#include "Standin/Commands/EngineCommands.h"
#include "Standin/EngineJson.h"
#include "Standin/HttpTokenSink.h"
#include "Standin/JsonResponse.h"
#include "Standin/Queries/EngineQueries.h"
#include "Standin/Timer.h"
#include "Standin/TokenText.h"

#include <limits>

namespace Lavenderloft::Standin {

namespace {

    // Above the maximum chunk size of 64 MiB.
    constexpr size_t maximumBodyBytes = 80 * 1024 * 1024;

    void respondEngineError(const std::shared_ptr<Http::ResponseStream>& stream, const Commands::EngineError& error)
    {
        using Kind = Commands::EngineErrorKind;
        auto respond = [&](unsigned status, const char* code) { respondError(stream, status, code, error.message, error.remedy); };
        switch (error.kind) {
        case Kind::StaleFence:
            return respond(409, "stale_fence");
        case Kind::OutOfOrder:
            return respond(422, "out_of_order");
        case Kind::BadWeights:
            return respond(422, "bad_weights");
        case Kind::NotReady:
        case Kind::Overloaded:
            return respond(503, "not_ready");
        }
    }

    using OrderHandler = Commands::EngineResult (*)(EngineState&, uint64_t, const std::string&);

    // Returns null for an unknown order.
    OrderHandler findOrderHandler(const std::string& name)
    {
        if (name == "load")
            return Commands::startLoading;
        if (name == "loadAdapter")
            return Commands::loadAdapter;
        return name == "unloadAdapter" ? Commands::unloadAdapter : nullptr;
    }

} // namespace

class ModelEngine::Server final : public Http::HttpHandler, public std::enable_shared_from_this<Server> {
public:
    explicit Server(EngineOptions options)
        : m_options(std::move(options))
    {
        m_state.model.behaviour = m_options.behaviour;
        m_state.model.incarnation = m_random.nextIdentifier();
    }

    void start()
    {
        Http::HttpServerOptions options;
        options.listen = m_options.listen;
        options.maximumBodyBytes = maximumBodyBytes;
        m_httpServer = std::make_unique<Http::HttpServer>(options, shared_from_this());
    }

    void stop()
    {
        m_timer.stop();
        m_httpServer->stop();
        m_state.generations.eraseIf([](auto&, auto&) { return true; });
        m_stalled.eraseIf([](auto&, auto&) { return true; });
        m_httpServer.reset();
    }

    uint16_t port() const { return m_httpServer->port(); }
    EngineState& state() { return m_state; }

    void handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseStream> stream) override
    {
        auto path = parseRequestPath(request.target);
        if (path.segment(0) == "test")
            return handleJsonErrors(stream, [&] { handleTestRequest(path.segment(1), request, stream); });
        if (path.segment(0) != "engine")
            return respondNotFound(stream, request);
        if (Queries::engineStatus(m_state).mode == EngineMode::Restarting)
            return stream->abort();
        handleJsonErrors(stream, [&] { handleServiceRequest(path, request, stream); });
    }

    void crash()
    {
        std::vector<std::shared_ptr<Generation>> aborted;
        m_state.generations.forEach([&](auto, auto& generation) { aborted.push_back(generation); });
        Commands::crashEngine(m_state, m_random.nextIdentifier());
        for (auto& generation : aborted)
            generation->sink->abort();
        scheduleTransition(Queries::engineBehaviour(m_state).restartTime, Commands::finishRestart);
    }

    void coolDown()
    {
        Commands::coolDown(m_state);
        scheduleTransition(Queries::engineBehaviour(m_state).coldTime, Commands::finishWarmUp);
    }

    void stallActiveRequests()
    {
        std::vector<std::shared_ptr<Generation>> active;
        m_state.generations.forEach([&](auto, auto& generation) { active.push_back(generation); });
        for (auto& generation : active) {
            m_stalled.set(generation->number, generation);
            Commands::removeGeneration(m_state, generation->number);
        }
    }

private:
    using ModeTransition = void (*)(EngineState&, uint64_t);

    // Schedules the transition out of the current mode; it has no effect if the mode changes before.
    void scheduleTransition(std::chrono::milliseconds delay, ModeTransition transition)
    {
        auto change = Queries::engineStatus(m_state).modeChange;
        m_timer.runAfter(delay, [weak = weak_from_this(), change, transition] {
            auto self = weak.lock();
            if (!self)
                return;
            transition(self->m_state, change);
            if (Queries::engineStatus(self->m_state).mode == EngineMode::Cold && transition == Commands::finishLoading)
                self->scheduleTransition(Queries::engineBehaviour(self->m_state).coldTime, Commands::finishWarmUp);
        });
    }

    void handleServiceRequest(const RequestPath& path, const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        auto name = path.segment(1);
        if (name == "status" && request.method == "GET")
            return respondJson(stream, 200, toJson(reportedStatus()));
        if (name == "weights" && request.method == "PUT")
            return handleChunk(path, request, stream);
        if (name == "orders" && request.method == "POST")
            return handleOrder(nlohmann::json::parse(request.body), stream);
        if (name == "generate" && request.method == "POST")
            return generate(request, stream);
        respondNotFound(stream, request);
    }

    // Returns the last reported status while it is younger than the status lag.
    EngineStatus reportedStatus()
    {
        auto now = m_clock.now();
        auto lag = Queries::engineBehaviour(m_state).statusLag;
        std::lock_guard guard(m_reportedStatusLock);
        if (!m_reportedStatus || m_reportedAt + lag <= now) {
            m_reportedStatus = Queries::engineStatus(m_state);
            m_reportedAt = now;
        }
        return *m_reportedStatus;
    }

    void handleChunk(const RequestPath& path, const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        bool isManifest = path.segment(3) == "manifest";
        auto index = isManifest ? 0 : parseNumber(path.segment(3));
        auto fence = parseNumber(Http::headerValue(request.headers, "X-Fence"));
        if (!index || !fence)
            return respondError(stream, 400, "malformed_request", "chunk index or header X-Fence is not a number", "send PUT /engine/weights/{digest}/{index} with X-Fence");
        auto accepted = isManifest ? Commands::acceptManifest(m_state, path.segment(2), *fence, request.body)
                                   : Commands::acceptChunk(m_state, path.segment(2), *index, *fence, request.body);
        if (!Base::succeeded(accepted))
            return respondEngineError(stream, Base::errorOf(accepted));
        respondNoContent(stream);
    }

    void handleOrder(const nlohmann::json& order, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        auto command = findOrderHandler(order.at("order"));
        if (!command)
            return respondError(stream, 400, "unknown_order", "unknown order " + order.at("order").dump(), R"(send {"fence","order":"load"|"loadAdapter"|"unloadAdapter","digest"})");
        auto before = Queries::engineStatus(m_state).modeChange;
        auto accepted = command(m_state, order.at("fence"), order.at("digest"));
        if (!Base::succeeded(accepted))
            return respondEngineError(stream, Base::errorOf(accepted));
        if (Queries::engineStatus(m_state).modeChange != before)
            scheduleTransition(Queries::engineBehaviour(m_state).loadTime, Commands::finishLoading);
        respondJson(stream, 202, toJson(Queries::engineStatus(m_state)));
    }

    void generate(const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        auto resumeFrom = Http::headerValue(request.headers, "X-Resume-From");
        auto firstToken = resumeFrom.empty() ? 0 : parseNumber(resumeFrom);
        if (!firstToken || *firstToken > std::numeric_limits<unsigned>::max())
            return respondError(stream, 400, "malformed_request", "header X-Resume-From is not the number of a token", "send a non-negative integer");
        auto generation = std::make_shared<Generation>();
        generation->request = readGenerationRequest(nlohmann::json::parse(request.body), Queries::engineBehaviour(m_state).crashMarker);
        generation->request.firstToken = static_cast<unsigned>(*firstToken);
        generation->request.adapter = Http::headerValue(request.headers, "X-Adapter");
        auto sink = std::make_shared<HttpTokenSink>(stream);
        generation->sink = sink;
        auto digest = Queries::engineStatus(m_state).digest;
        auto admitted = Commands::admitGeneration(m_state, generation);
        if (!Base::succeeded(admitted) && Base::errorOf(admitted).kind == Commands::EngineErrorKind::Overloaded)
            return crash();
        if (!Base::succeeded(admitted))
            return respondEngineError(stream, Base::errorOf(admitted));
        Http::HttpHeaders headers { { "Content-Type", "text/plain" }, { "X-Weights-Digest", digest } };
        if (!resumeFrom.empty())
            headers.push_back({ "X-Resumed-From", std::string(resumeFrom) });
        if (!generation->request.adapter.empty())
            headers.push_back({ "X-Adapter-Digest", generation->request.adapter });
        sink->start(std::move(headers));
        stream->onDisconnect([weak = weak_from_this(), number = generation->number] {
            if (auto self = weak.lock())
                self->releaseGeneration(number);
        });
        startStepping();
    }

    void releaseGeneration(uint64_t number)
    {
        Commands::removeGeneration(m_state, number);
        m_stalled.erase(number);
    }

    void startStepping()
    {
        if (!m_isStepping.exchange(true))
            scheduleStep(1);
    }

    void scheduleStep(size_t batch)
    {
        m_timer.runAfter(Queries::stepDuration(m_state, batch), [weak = weak_from_this()] {
            if (auto self = weak.lock())
                self->runStep();
        });
    }

    void runStep()
    {
        auto batch = Queries::nextBatch(m_state);
        if (batch.empty()) {
            m_isStepping = false;
            // A request may have been admitted after nextBatch and before the flag was cleared.
            if (m_state.generations.size() > 0)
                startStepping();
            return;
        }
        for (auto& generation : batch) {
            if (generation->request.crashesEngine) {
                crash();
                break;
            }
            generateToken(*generation);
        }
        if (Queries::requestMemory(m_state) > Queries::engineBehaviour(m_state).memoryLimitBytes)
            crash();
        scheduleStep(batch.size());
    }

    void generateToken(Generation& generation)
    {
        if (generation.nextToken < generation.request.maxTokens) {
            auto text = Queries::nextTokenText(m_state, generation);
            if (!text || !generation.sink->write(std::move(*text)))
                return;
            ++generation.nextToken;
        }
        if (generation.nextToken < generation.request.maxTokens)
            return;
        // Removed before the final write, so that it is no longer held when its sender sees the end.
        Commands::removeGeneration(m_state, generation.number);
        Commands::countCompletion(m_state);
        generation.sink->finish(std::string(endOfResponse) + '\n');
    }

    void handleTestRequest(const std::string& name, const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        if (name == "counters" && request.method == "GET")
            return respondJson(stream, 200, toJson(Queries::engineCounters(m_state)));
        if (name == "crash" && request.method == "POST") {
            crash();
            return respondNoContent(stream);
        }
        if (name == "cool-down" && request.method == "POST") {
            coolDown();
            return respondNoContent(stream);
        }
        if (name == "stall" && request.method == "POST") {
            stallActiveRequests();
            return respondNoContent(stream);
        }
        if (name != "behaviour" || request.method != "PUT")
            return respondNotFound(stream, request);
        auto behaviour = Queries::engineBehaviour(m_state);
        readBehaviour(nlohmann::json::parse(request.body), behaviour);
        Commands::setBehaviour(m_state, behaviour);
        respondNoContent(stream);
    }

    EngineOptions m_options;
    EngineState m_state;
    Base::SystemClock m_clock;
    Base::SeededRandom m_random { Base::SeededRandom::fromDevice() };
    // Requests that never complete.
    Base::ShardedMap<uint64_t, std::shared_ptr<Generation>> m_stalled;
    std::atomic<bool> m_isStepping { false };
    std::mutex m_reportedStatusLock;
    std::optional<EngineStatus> m_reportedStatus;
    Base::TimePoint m_reportedAt {};
    Timer m_timer;
    std::unique_ptr<Http::HttpServer> m_httpServer;
};

ModelEngine::ModelEngine(EngineOptions options)
    : m_server(std::make_shared<Server>(std::move(options)))
{
    m_server->start();
}

ModelEngine::~ModelEngine()
{
    m_server->stop();
}

uint16_t ModelEngine::port() const
{
    return m_server->port();
}

EngineStatus ModelEngine::status() const
{
    return Queries::engineStatus(m_server->state());
}

EngineCounters ModelEngine::counters() const
{
    return Queries::engineCounters(m_server->state());
}

EngineBehaviour ModelEngine::behaviour() const
{
    return Queries::engineBehaviour(m_server->state());
}

void ModelEngine::setBehaviour(const EngineBehaviour& behaviour)
{
    Commands::setBehaviour(m_server->state(), behaviour);
}

void ModelEngine::crash()
{
    m_server->crash();
}

void ModelEngine::coolDown()
{
    m_server->coolDown();
}

void ModelEngine::stallActiveRequests()
{
    m_server->stallActiveRequests();
}

} // namespace Lavenderloft::Standin
