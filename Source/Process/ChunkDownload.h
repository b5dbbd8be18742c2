#pragma once

#include "Process/WeightRuntime.h"
#include "Weights/Queries/ChunkScheduler.h"

namespace Lavenderloft::Process {

// Receives one chunk, verifies and stores it, and records failures of its source.
class ChunkDownload final : public Weights::ChunkSink {
public:
    ChunkDownload(std::shared_ptr<WeightRuntime>, Weights::ManifestChunk, Weights::SourceKind, std::string vm);

    void part(std::string_view bytes) override;
    void end(const Base::Result<Base::Done, Weights::WeightError>&) override;

private:
    void countReceived(uint64_t bytes);
    Base::Result<Base::Done, Weights::WeightError> store(const Base::Result<Base::Done, Weights::WeightError>&);
    void recordFailure(const Weights::WeightError&);

    std::shared_ptr<WeightRuntime> m_runtime;
    Weights::ManifestChunk m_chunk;
    Weights::SourceKind m_source;
    std::string m_vm;
    std::string m_bytes;
    bool m_isTooLong = false;
};

// Name of a source kind in log lines and metrics.
const char* sourceName(Weights::SourceKind);

} // namespace Lavenderloft::Process
