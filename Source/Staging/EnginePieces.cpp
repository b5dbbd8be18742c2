#include "Staging/EnginePieces.h"

#include "Observability/Log.h"
#include "Staging/Events.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    // How long a store that had no response is expected to take effect still.
    constexpr std::chrono::seconds unsettledStoreLifetime = 30s;

    constexpr unsigned unavailableStatus = 503;

    // Whether the engine said that the piece is stored there or that it is not.
    bool isAnswer(const Base::Result<Http::HttpResponse, Http::HttpError>& result)
    {
        return Base::succeeded(result) && (Base::valueOf(result).status == 200 || Base::valueOf(result).status == 404);
    }

    // Whether the engine said nothing of the piece. What was verified before stays known then.
    bool isUnavailable(const Base::Result<Http::HttpResponse, Http::HttpError>& result)
    {
        return !Base::succeeded(result) || Base::valueOf(result).status == unavailableStatus;
    }

    std::optional<std::string> takePiece(Base::Result<Http::HttpResponse, Http::HttpError> result)
    {
        if (!Base::succeeded(result) || Base::valueOf(result).status != 200)
            return std::nullopt;
        return Base::takeValue(std::move(result)).body;
    }

} // namespace

EnginePieces::EnginePieces(const StagingContext& context, const EngineMonitor& monitor)
    : m_context(context)
    , m_monitor(monitor)
{
}

bool EnginePieces::hasChecklistOf(uint64_t version) const
{
    return m_checklist && m_checklist->manifest().version == version;
}

bool EnginePieces::isSameEngine() const
{
    return m_monitor.report() && m_monitor.report()->startedAt == m_engineStart;
}

void EnginePieces::recordEngine()
{
    m_engineStart = m_monitor.report()->startedAt;
}

void EnginePieces::startChecklist(PieceManifest manifest)
{
    m_checklist.emplace(std::move(manifest));
}

void EnginePieces::restartChecklist()
{
    m_checklist->markAllMissing();
}

asio::awaitable<bool> EnginePieces::verify(Http::PersistentHttpClient& engine)
{
    m_verificationStart = m_context.clock.now();
    bool isAnswered = true;
    for (unsigned piece = 0; piece < m_checklist->pieceCount(); ++piece) {
        auto result = co_await requestPiece(engine, m_checklist->manifest().model, piece);
        isAnswered = isAnswered && isAnswer(result);
        if (!isUnavailable(result))
            recordVerified(piece, takePiece(std::move(result)));
    }
    co_return isAnswered;
}

void EnginePieces::recordVerified(unsigned piece, const std::optional<std::string>& bytes)
{
    if (bytes && m_checklist->matches(piece, *bytes)) {
        m_checklist->markPresent(piece);
        return;
    }
    if (bytes && m_checklist->isPresent(piece))
        Observability::logEvent(Events::pieceRejected, { { "piece", piece }, { "version", m_checklist->manifest().version }, { "source", "engine" } });
    m_checklist->markMissing(piece);
}

asio::awaitable<bool> EnginePieces::store(const std::string& model, unsigned piece, std::string bytes)
{
    auto engine = m_context.engineClient();
    m_lastStoreAt = m_context.clock.now();
    auto stored = co_await engine.call(m_context.protocol.storePieceRequest(model, piece, std::move(bytes)), StagingContext::engineTimeout);
    m_lastStoreAt = m_context.clock.now();
    if (!Base::succeeded(stored))
        m_storesUnsettledUntil = m_lastStoreAt + unsettledStoreLifetime;
    bool isStored = Base::succeeded(stored) && Base::valueOf(stored).status / 100 == 2;
    if (isStored) {
        m_checklist->markPresent(piece);
        co_return true;
    }
    auto problem = Base::succeeded(stored) ? "status " + std::to_string(Base::valueOf(stored).status) : Base::errorOf(stored).describe();
    Observability::logEvent(Events::pieceUnavailable, { { "piece", piece }, { "source", "engine" }, { "problem", problem } });
    co_return false;
}

asio::awaitable<EnginePieces::ReadResult> EnginePieces::requestPiece(Http::PersistentHttpClient& engine, const std::string& model, unsigned piece) const
{
    auto result = co_await engine.call(m_context.protocol.storedPieceRequest(model, piece), StagingContext::engineTimeout);
    co_return result;
}

asio::awaitable<std::optional<std::string>> EnginePieces::read(Http::PersistentHttpClient& engine, const std::string& model, unsigned piece) const
{
    auto result = co_await requestPiece(engine, model, piece);
    co_return takePiece(std::move(result));
}

} // namespace Lavenderloft::Staging
