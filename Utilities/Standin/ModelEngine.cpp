#include "Standin/ModelEngine.h"

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Http/HttpServer.h"
#include "Standin/Commands/EngineCommands.h"
#include "Standin/EngineJson.h"
#include "Standin/HttpTokenSink.h"
#include "Standin/JsonAnswer.h"
#include "Standin/Queries/EngineQueries.h"
#include "Standin/Timer.h"
#include "Standin/TokenText.h"

#include <limits>

namespace Lavenderloft::Standin {

namespace {

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

    using OrderCommand = Commands::EngineResult (*)(EngineState&, uint64_t, const std::string&);

    // Null if the order is not known.
    OrderCommand findOrder(const std::string& name)
    {
        if (name == "load")
            return Commands::acceptLoadOrder;
        if (name == "loadAdapter")
            return Commands::acceptAdapterOrder;
        return name == "unloadAdapter" ? Commands::acceptAdapterRemoval : nullptr;
    }

} // namespace

class ModelEngine::Front final : public Http::HttpHandler, public std::enable_shared_from_this<Front> {
public:
    explicit Front(EngineOptions options)
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
        m_server = std::make_unique<Http::HttpServer>(options, shared_from_this());
    }

    void stop()
    {
        m_timer.stop();
        m_server->stop();
        m_state.generations.eraseIf([](auto&, auto&) { return true; });
        m_stalled.eraseIf([](auto&, auto&) { return true; });
        m_server.reset();
    }

    uint16_t port() const { return m_server->port(); }
    EngineState& state() { return m_state; }

    void handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseStream> stream) override
    {
        auto path = parseRequestPath(request.target);
        if (path.segment(0) == "test")
            return respondToControl(stream, [&] { control(path.segment(1), request, stream); });
        if (path.segment(0) != "engine")
            return respondNotFound(stream, request);
        if (Queries::engineStatus(m_state).mode == EngineMode::Restarting)
            return stream->abort();
        respondToControl(stream, [&] { serve(path, request, stream); });
    }

    void crash()
    {
        std::vector<std::shared_ptr<Generation>> lost;
        m_state.generations.forEach([&](auto, auto& generation) { lost.push_back(generation); });
        Commands::crashEngine(m_state, m_random.nextIdentifier());
        for (auto& generation : lost)
            generation->sink->abort();
        followMode(Queries::engineBehaviour(m_state).restartTime, Commands::finishRestart);
    }

    void coolDown()
    {
        Commands::coolDown(m_state);
        followMode(Queries::engineBehaviour(m_state).coldTime, Commands::finishWarming);
    }

    void stallHeldRequests()
    {
        std::vector<std::shared_ptr<Generation>> held;
        m_state.generations.forEach([&](auto, auto& generation) { held.push_back(generation); });
        for (auto& generation : held) {
            m_stalled.set(generation->number, generation);
            Commands::removeGeneration(m_state, generation->number);
        }
    }

private:
    using FollowUp = void (*)(EngineState&, uint64_t);

    // Runs the follow-up of the present mode after the time; it has no effect if the mode changes before.
    void followMode(std::chrono::milliseconds delay, FollowUp followUp)
    {
        auto change = Queries::engineStatus(m_state).modeChange;
        m_timer.runAfter(delay, [weak = weak_from_this(), change, followUp] {
            auto self = weak.lock();
            if (!self)
                return;
            followUp(self->m_state, change);
            if (Queries::engineStatus(self->m_state).mode == EngineMode::Cold && followUp == Commands::finishLoading)
                self->followMode(Queries::engineBehaviour(self->m_state).coldTime, Commands::finishWarming);
        });
    }

    void serve(const RequestPath& path, const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        auto name = path.segment(1);
        if (name == "status" && request.method == "GET")
            return respondJson(stream, 200, toJson(laggingStatus()));
        if (name == "weights" && request.method == "PUT")
            return takeChunk(path, request, stream);
        if (name == "orders" && request.method == "POST")
            return takeOrder(nlohmann::json::parse(request.body), stream);
        if (name == "generate" && request.method == "POST")
            return generate(request, stream);
        respondNotFound(stream, request);
    }

    // The status last shown while it is younger than the lag.
    EngineStatus laggingStatus()
    {
        auto now = m_clock.now();
        auto lag = Queries::engineBehaviour(m_state).statusLag;
        std::lock_guard guard(m_shownLock);
        if (!m_shown || m_shownAt + lag <= now) {
            m_shown = Queries::engineStatus(m_state);
            m_shownAt = now;
        }
        return *m_shown;
    }

    void takeChunk(const RequestPath& path, const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        bool isManifest = path.segment(3) == "manifest";
        auto index = isManifest ? 0 : parseNumber(path.segment(3));
        auto fence = parseNumber(Http::headerValue(request.headers, "X-Fence"));
        if (!index || !fence)
            return respondError(stream, 400, "malformed_request", "the chunk index or the header X-Fence is not a number", "send PUT /engine/weights/{digest}/{index} with X-Fence");
        auto accepted = isManifest ? Commands::acceptManifest(m_state, path.segment(2), *fence, request.body)
                                   : Commands::acceptChunk(m_state, path.segment(2), *index, *fence, request.body);
        if (!Base::succeeded(accepted))
            return respondEngineError(stream, Base::errorOf(accepted));
        respondDone(stream);
    }

    void takeOrder(const nlohmann::json& order, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        auto command = findOrder(order.at("order"));
        if (!command)
            return respondError(stream, 400, "unknown_order", "the order is not known", R"(send {"fence","order":"load"|"loadAdapter"|"unloadAdapter","digest"})");
        auto before = Queries::engineStatus(m_state).modeChange;
        auto accepted = command(m_state, order.at("fence"), order.at("digest"));
        if (!Base::succeeded(accepted))
            return respondEngineError(stream, Base::errorOf(accepted));
        if (Queries::engineStatus(m_state).modeChange != before)
            followMode(Queries::engineBehaviour(m_state).loadTime, Commands::finishLoading);
        respondJson(stream, 202, toJson(Queries::engineStatus(m_state)));
    }

    void generate(const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        auto resumeFrom = Http::headerValue(request.headers, "X-Resume-From");
        auto firstToken = resumeFrom.empty() ? 0 : parseNumber(resumeFrom);
        if (!firstToken || *firstToken > std::numeric_limits<unsigned>::max())
            return respondError(stream, 400, "malformed_request", "the header X-Resume-From is not the number of a token", "send a whole number from 0");
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
                self->forget(number);
        });
        startSteps();
    }

    void forget(uint64_t number)
    {
        Commands::removeGeneration(m_state, number);
        m_stalled.erase(number);
    }

    void startSteps()
    {
        if (!m_stepping.exchange(true))
            scheduleStep(1);
    }

    void scheduleStep(size_t batch)
    {
        m_timer.runAfter(Queries::stepDuration(m_state, batch), [weak = weak_from_this()] {
            if (auto self = weak.lock())
                self->step();
        });
    }

    void step()
    {
        auto batch = Queries::nextBatch(m_state);
        if (batch.empty()) {
            m_stepping = false;
            // A request may have come between the look and the mark.
            if (m_state.generations.size() > 0)
                startSteps();
            return;
        }
        for (auto& generation : batch) {
            if (generation->request.crashesEngine) {
                crash();
                break;
            }
            advance(*generation);
        }
        if (Queries::requestMemory(m_state) > Queries::engineBehaviour(m_state).memoryLimitBytes)
            crash();
        scheduleStep(batch.size());
    }

    void advance(Generation& generation)
    {
        if (generation.nextToken < generation.request.maxTokens) {
            auto text = Queries::nextTokenText(m_state, generation);
            if (!text || !generation.sink->write(std::move(*text)))
                return;
            ++generation.nextToken;
        }
        if (generation.nextToken < generation.request.maxTokens)
            return;
        // The request is no longer held once its sender can know that it ended.
        Commands::removeGeneration(m_state, generation.number);
        Commands::countCompletion(m_state);
        generation.sink->finish(std::string(doneLine) + '\n');
    }

    void control(const std::string& name, const Http::HttpRequest& request, const std::shared_ptr<Http::ResponseStream>& stream)
    {
        if (name == "counters" && request.method == "GET")
            return respondJson(stream, 200, toJson(Queries::engineCounters(m_state)));
        if (name == "crash" && request.method == "POST") {
            crash();
            return respondDone(stream);
        }
        if (name == "cool-down" && request.method == "POST") {
            coolDown();
            return respondDone(stream);
        }
        if (name == "stall" && request.method == "POST") {
            stallHeldRequests();
            return respondDone(stream);
        }
        if (name != "behaviour" || request.method != "PUT")
            return respondNotFound(stream, request);
        auto behaviour = Queries::engineBehaviour(m_state);
        readBehaviour(nlohmann::json::parse(request.body), behaviour);
        Commands::setBehaviour(m_state, behaviour);
        respondDone(stream);
    }

    EngineOptions m_options;
    EngineState m_state;
    Base::SystemClock m_clock;
    Base::SeededRandom m_random { Base::SeededRandom::fromDevice() };
    // Requests that get no answer any more.
    Base::ShardedMap<uint64_t, std::shared_ptr<Generation>> m_stalled;
    std::atomic<bool> m_stepping { false };
    std::mutex m_shownLock;
    std::optional<EngineStatus> m_shown;
    Base::TimePoint m_shownAt {};
    Timer m_timer;
    std::unique_ptr<Http::HttpServer> m_server;
};

ModelEngine::ModelEngine(EngineOptions options)
    : m_front(std::make_shared<Front>(std::move(options)))
{
    m_front->start();
}

ModelEngine::~ModelEngine()
{
    m_front->stop();
}

uint16_t ModelEngine::port() const
{
    return m_front->port();
}

EngineStatus ModelEngine::status() const
{
    return Queries::engineStatus(m_front->state());
}

EngineCounters ModelEngine::counters() const
{
    return Queries::engineCounters(m_front->state());
}

EngineBehaviour ModelEngine::behaviour() const
{
    return Queries::engineBehaviour(m_front->state());
}

void ModelEngine::setBehaviour(const EngineBehaviour& behaviour)
{
    Commands::setBehaviour(m_front->state(), behaviour);
}

void ModelEngine::crash()
{
    m_front->crash();
}

void ModelEngine::coolDown()
{
    m_front->coolDown();
}

void ModelEngine::stallHeldRequests()
{
    m_front->stallHeldRequests();
}

} // namespace Lavenderloft::Standin
