#include "Standin/WeightStore.h"

#include "Base/SystemClock.h"
#include "Base/TokenBucket.h"
#include "Standin/Commands/WeightStoreCommands.h"
#include "Standin/ModelOptions.h"
#include "Standin/Queries/WeightStoreQueries.h"
#include "Standin/StandinServer.h"

#include <algorithm>
#include <stdexcept>

namespace Lavenderloft::Standin {

namespace {

    constexpr size_t partSizeBytes = 64 * 1024;

    // Chunk response in progress.
    struct Download {
        std::string digest;
        std::string bytes;
        size_t sent = 0;
        std::shared_ptr<Http::ResponseStream> stream;
    };

} // namespace

class WeightStore::Server final : public StandinServer {
public:
    explicit Server(WeightStoreOptions options)
        : StandinServer(options.listen)
        , m_options(std::move(options))
        , m_rateLimiter(m_options.bytesPerSecond, partSizeBytes)
    {
    }

    WeightStoreState& state() { return m_state; }
    void setRate(double bytesPerSecond) { m_rateLimiter.setRate(bytesPerSecond, m_clock.now()); }

    std::shared_ptr<const SyntheticModel> addModel(ModelSpec spec)
    {
        auto generated = SyntheticModel::generate(std::move(spec));
        if (!Base::succeeded(generated))
            throw std::invalid_argument(Base::errorOf(generated).describe());
        auto model = std::make_shared<const SyntheticModel>(Base::takeValue(std::move(generated)));
        Commands::addModel(m_state, model);
        return model;
    }

    void setStalled(bool stalled)
    {
        m_state.stalled = stalled;
        if (stalled)
            return;
        for (auto& download : extractStalled())
            download->stream->abort();
    }

    void handleServiceRequest(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        if (m_state.down)
            return stream->abort();
        if (request.method == "GET" && path.startsWith({ "v1", "manifests" }))
            return sendManifest(path.segment(2), stream);
        if (request.method == "GET" && path.startsWith({ "v1", "chunks" }))
            return sendChunk(path.segment(2), stream);
        respondNotFound(stream, request);
    }

private:
    void dropPendingResponses() override { extractStalled(); }

    void sendManifest(const std::string& digest, const Stream& stream)
    {
        ++m_state.manifestRequests;
        auto model = m_state.models.find(digest);
        if (!model)
            return respondError(stream, 404, "unknown_manifest", "no model has the manifest " + digest, "add it with POST /test/models");
        stream->respond({ 200, { { "Content-Type", "application/json" } }, (*model)->manifest() });
    }

    void sendChunk(const std::string& digest, const Stream& stream)
    {
        auto bytes = Queries::chunkBytes(m_state, digest);
        if (!bytes)
            return respondError(stream, 404, "unknown_chunk", "no model has the chunk " + digest, "request a chunk of a manifest");
        Commands::countChunkRequest(m_state, digest);
        if (Base::succeeded(Commands::consumeCorruption(m_state, digest)))
            bytes->at(bytes->size() / 2) ^= 1;
        auto download = std::make_shared<Download>(Download { digest, std::move(*bytes), 0, stream });
        stream->start(200, { { "Content-Type", "application/octet-stream" } });
        scheduleNextPart(download);
    }

    void scheduleNextPart(const std::shared_ptr<Download>& download)
    {
        if (download->sent == download->bytes.size())
            return download->stream->finish();
        if (m_state.stalled && download->sent > 0)
            return stall(download);
        auto size = std::min(partSizeBytes, download->bytes.size() - download->sent);
        auto delay = m_rateLimiter.take(static_cast<double>(size), m_clock.now());
        if (delay <= Base::Duration::zero())
            return sendPart(download, size);
        timer().runAfter(delay, [weak = weakFrom(this), download, size] {
            if (auto self = weak.lock())
                self->sendPart(download, size);
        });
    }

    void sendPart(const std::shared_ptr<Download>& download, size_t size)
    {
        auto part = download->bytes.substr(download->sent, size);
        download->sent += size;
        Commands::countChunkBytes(m_state, download->digest, size);
        download->stream->write(std::move(part), [weak = weakFrom(this), download](bool ok) {
            auto self = weak.lock();
            if (ok && self)
                self->scheduleNextPart(download);
        });
    }

    void stall(const std::shared_ptr<Download>& download)
    {
        std::lock_guard guard(m_stalledLock);
        m_stalled.push_back(download);
    }

    std::vector<std::shared_ptr<Download>> extractStalled()
    {
        std::lock_guard guard(m_stalledLock);
        return std::exchange(m_stalled, {});
    }

    void handleTestRequest(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        auto name = path.segment(1);
        if (name == "counters" && request.method == "GET")
            return respondCounters(stream);
        if (name == "counters" && request.method == "DELETE") {
            Commands::resetCounters(m_state);
            return respondNoContent(stream);
        }
        auto body = parseObject(request.body);
        if (!body)
            return respondError(stream, 400, "malformed_body", "the body is not a JSON object", "see docs/standins.md");
        if (name == "models" && request.method == "POST")
            return createModel(*body, stream);
        if (name == "corruptions" && request.method == "PUT")
            return setCorruption(*body, stream);
        if (name == "faults" && request.method == "PUT")
            return setFaults(*body, stream);
        respondNotFound(stream, request);
    }

    void createModel(const nlohmann::json& body, const Stream& stream)
    {
        try {
            auto model = addModel(modelSpecFromJson(body));
            respondJson(stream, 201, { { "digest", model->digest() }, { "chunks", model->chunkDigests() }, { "totalBytes", model->totalBytes() } });
        } catch (const std::invalid_argument& error) {
            respondError(stream, 400, "bad_model", error.what(), "see docs/standins.md");
        }
    }

    void setCorruption(const nlohmann::json& body, const Stream& stream)
    {
        if (!body.contains("digest") || !body["digest"].is_string())
            return respondError(stream, 400, "malformed_body", "\"digest\" is missing", R"(send {"digest": "...", "times": 1})");
        Commands::corruptChunk(m_state, body["digest"], body.value("times", 1u));
        respondNoContent(stream);
    }

    void setFaults(const nlohmann::json& body, const Stream& stream)
    {
        if (body.contains("down"))
            m_state.down = body["down"] == true;
        if (body.contains("stalled"))
            setStalled(body["stalled"] == true);
        if (body.contains("bytesPerSecond") && body["bytesPerSecond"].is_number())
            setRate(body["bytesPerSecond"].get<double>());
        respondNoContent(stream);
    }

    void respondCounters(const Stream& stream)
    {
        auto counters = Queries::weightStoreCounters(m_state);
        nlohmann::json chunks = nlohmann::json::object();
        for (auto& [digest, chunk] : counters.chunks)
            chunks[digest] = { { "requests", chunk.requests }, { "bytes", chunk.bytes } };
        respondJson(stream, 200, { { "manifestRequests", counters.manifestRequests }, { "chunkRequests", counters.chunkRequests }, { "chunkBytes", counters.chunkBytes }, { "chunks", chunks } });
    }

    WeightStoreOptions m_options;
    WeightStoreState m_state;
    Base::SystemClock m_clock;
    Base::TokenBucket m_rateLimiter;
    std::mutex m_stalledLock;
    std::vector<std::shared_ptr<Download>> m_stalled;
};

WeightStore::WeightStore(WeightStoreOptions options)
    : m_server(std::make_shared<Server>(std::move(options)))
{
    m_server->start();
}

WeightStore::~WeightStore()
{
    m_server->stop();
}

uint16_t WeightStore::port() const
{
    return m_server->port();
}

std::shared_ptr<const SyntheticModel> WeightStore::addModel(ModelSpec spec)
{
    return m_server->addModel(std::move(spec));
}

void WeightStore::setRate(double bytesPerSecond)
{
    m_server->setRate(bytesPerSecond);
}

void WeightStore::corruptChunk(const std::string& digest, unsigned times)
{
    Commands::corruptChunk(m_server->state(), digest, times);
}

void WeightStore::setDown(bool down)
{
    m_server->state().down = down;
}

void WeightStore::setStalled(bool stalled)
{
    m_server->setStalled(stalled);
}

WeightStoreCounters WeightStore::counters() const
{
    return Queries::weightStoreCounters(m_server->state());
}

void WeightStore::resetCounters()
{
    Commands::resetCounters(m_server->state());
}

} // namespace Lavenderloft::Standin
