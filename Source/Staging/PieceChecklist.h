#pragma once

#include "Staging/EngineProtocol.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Lavenderloft::Staging {

// Tracks which pieces of one model version are stored at the engine and verified.
class PieceChecklist {
public:
    explicit PieceChecklist(PieceManifest);

    const PieceManifest& manifest() const { return m_manifest; }
    unsigned pieceCount() const { return static_cast<unsigned>(m_manifest.digests.size()); }

    // Whether the digest of the bytes matches the manifest.
    bool matches(unsigned piece, std::string_view bytes) const;

    void markPresent(unsigned piece) { m_present[piece] = true; }
    void markMissing(unsigned piece) { m_present[piece] = false; }
    // The engine has restarted, so that each piece has to be verified again.
    void markAllMissing() { m_present.assign(m_present.size(), false); }
    bool isPresent(unsigned piece) const { return m_present[piece]; }
    bool isComplete() const;

    std::vector<unsigned> missing() const;

private:
    PieceManifest m_manifest;
    std::vector<bool> m_present;
};

} // namespace Lavenderloft::Staging
