#include "Process/ChunkDownload.h"

#include "Observability/Log.h"
#include "Weights/Commands/DownloadCommands.h"
#include "Weights/Commands/OriginCommands.h"
#include "Weights/Commands/PeerCommands.h"
#include "Weights/Commands/TransferCommands.h"
#include "Weights/Events.h"
#include "Weights/Queries/SourceSelection.h"
#include "Weights/TransferLimits.h"

namespace Lavenderloft::Process {

using Weights::SourceKind;
using Weights::WeightError;
using Weights::WeightErrorKind;

const char* sourceName(SourceKind source)
{
    switch (source) {
    case SourceKind::Origin:
        return "origin";
    case SourceKind::Peer:
        return "peer";
    case SourceKind::RemotePeer:
        return "remote";
    }
    return "origin";
}

ChunkDownload::ChunkDownload(std::shared_ptr<WeightRuntime> runtime, Weights::ManifestChunk chunk, SourceKind source, std::string vm)
    : m_runtime(std::move(runtime))
    , m_chunk(std::move(chunk))
    , m_source(source)
    , m_vm(std::move(vm))
{
}

void ChunkDownload::part(std::string_view bytes)
{
    countReceived(bytes.size());
    m_isTooLong = m_isTooLong || m_bytes.size() + bytes.size() > m_chunk.bytes;
    if (m_isTooLong)
        return;
    if (m_bytes.empty())
        m_bytes.reserve(m_chunk.bytes);
    m_bytes.append(bytes);
    Weights::Commands::recordDownloadProgress(m_runtime->state->downloads, m_chunk.digest, m_runtime->clock.now());
}

void ChunkDownload::end(const Base::Result<Base::Done, WeightError>& result)
{
    auto stored = store(result);
    // Recorded before the download ends, so that the next source selection takes it into account.
    if (!Base::succeeded(stored))
        recordFailure(Base::errorOf(stored));
    if (!m_vm.empty())
        Weights::Commands::recordDownloadEnded(m_runtime->state->peers, m_vm);
    Weights::Commands::endDownload(m_runtime->state->downloads, m_chunk.digest);
    m_runtime->wake();
}

void ChunkDownload::countReceived(uint64_t bytes)
{
    auto& counters = m_runtime->state->counters;
    auto& counter = m_source == SourceKind::Origin ? counters.originBytes : m_source == SourceKind::Peer ? counters.peerBytes
                                                                                                         : counters.remoteBytes;
    counter += bytes;
    m_runtime->metrics->count("weight_bytes_total", { { "source", sourceName(m_source) } }, static_cast<double>(bytes));
}

Base::Result<Base::Done, WeightError> ChunkDownload::store(const Base::Result<Base::Done, WeightError>& result)
{
    if (!Base::succeeded(result))
        return result;
    if (m_isTooLong || m_bytes.size() != m_chunk.bytes)
        return WeightError { WeightErrorKind::WrongDigest, "chunk " + m_chunk.digest + " does not have the " + std::to_string(m_chunk.bytes) + " bytes given in the manifest", "" };
    auto& state = *m_runtime->state;
    auto stored = Weights::Commands::acceptChunk(state.transfers, state.chunks, m_chunk.digest, std::move(m_bytes), m_runtime->clock.now());
    if (Base::succeeded(stored) && m_source == SourceKind::Origin)
        Weights::Commands::recordOriginSuccess(state.origin);
    return stored;
}

void ChunkDownload::recordFailure(const WeightError& error)
{
    auto now = m_runtime->clock.now();
    auto& counters = m_runtime->state->counters;
    if (error.kind == WeightErrorKind::NotWanted || error.kind == WeightErrorKind::Cancelled)
        return;
    if (error.kind == WeightErrorKind::WrongDigest) {
        ++counters.corruptChunks;
        m_runtime->metrics->count("weight_chunks_refused_total", { { "source", sourceName(m_source) } });
        Observability::logEvent(Weights::chunkRefused, { { "chunk", m_chunk.digest }, { "source", sourceName(m_source) }, { "vm", m_vm } });
    } else {
        ++counters.failedDownloads;
        Observability::logEvent(Weights::downloadFailed, { { "chunk", m_chunk.digest }, { "source", sourceName(m_source) }, { "vm", m_vm }, { "reason", error.describe() } });
    }
    if (error.kind == WeightErrorKind::Busy && m_source != SourceKind::Origin) {
        ++counters.busyRefusals;
        return Weights::Commands::pausePeer(m_runtime->state->peers, m_vm, now + Weights::busyPeerRetryDelay);
    }
    if (m_source != SourceKind::Origin)
        return Weights::Commands::startPeerBackoff(m_runtime->state->peers, m_vm, now + Weights::Queries::backoffAfter(error.kind));
    Weights::Commands::recordOriginFailure(m_runtime->state->origin, now);
}

} // namespace Lavenderloft::Process
