#pragma once

#include "Staging/EngineMonitor.h"
#include "Staging/PieceChecklist.h"
#include "Staging/StagingContext.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace Lavenderloft::Staging {

// Stores pieces at the local engine, and tracks which pieces of one model version are stored there and verified. Runs
// on one event loop.
class EnginePieces {
public:
    EnginePieces(const StagingContext&, const EngineMonitor&);

    // Empty until the first manifest is known.
    const std::optional<PieceChecklist>& checklist() const { return m_checklist; }

    bool hasChecklistOf(uint64_t version) const;

    // Whether the engine that the checklist describes is still the one that runs.
    bool isSameEngine() const;

    // Makes the checklist describe the engine that runs now. The engine must have reported.
    void recordEngine();

    // Replaces the checklist by one on which all pieces are missing.
    void startChecklist(PieceManifest);

    // Marks all pieces of the checklist as missing.
    void restartChecklist();

    // Reads each piece of the checklist back from the engine and compares its digest. Returns whether the engine answered
    // every time; a piece of which it said nothing stays as it was.
    boost::asio::awaitable<bool> verify(Http::PersistentHttpClient& engine);

    // Time since the start of the last verification: a piece that it found whole may have turned bad since.
    Base::Duration verificationAge() const { return m_context.clock.now() - m_verificationStart; }

    // When a piece was last sent to the engine to be stored.
    Base::TimePoint lastStoreAt() const { return m_lastStoreAt; }

    // Whether a store of this process that had no response is expected to take effect still, over a piece that was stored
    // since.
    bool hasUnsettledStores() const { return m_context.clock.now() < m_storesUnsettledUntil; }

    // Stores a piece and marks it as present. Returns false if the engine did not accept it.
    boost::asio::awaitable<bool> store(const std::string& model, unsigned piece, std::string bytes);

    // Reads a piece back from the engine; nullopt if it is not stored there or the engine does not answer.
    boost::asio::awaitable<std::optional<std::string>> read(Http::PersistentHttpClient& engine, const std::string& model, unsigned piece) const;

private:
    using ReadResult = Base::Result<Http::HttpResponse, Http::HttpError>;

    boost::asio::awaitable<ReadResult> requestPiece(Http::PersistentHttpClient& engine, const std::string& model, unsigned piece) const;
    void recordVerified(unsigned piece, const std::optional<std::string>& bytes);

    const StagingContext& m_context;
    const EngineMonitor& m_monitor;
    std::optional<PieceChecklist> m_checklist;
    // EngineReport::startedAt of the engine that the checklist describes.
    uint64_t m_engineStart = 0;
    Base::TimePoint m_verificationStart {};
    Base::TimePoint m_lastStoreAt {};
    Base::TimePoint m_storesUnsettledUntil {};
};

} // namespace Lavenderloft::Staging
