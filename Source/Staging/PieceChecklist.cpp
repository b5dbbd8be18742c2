#include "Staging/PieceChecklist.h"

#include "Base/Digest.h"

#include <algorithm>

namespace Lavenderloft::Staging {

PieceChecklist::PieceChecklist(PieceManifest manifest)
    : m_manifest(std::move(manifest))
    , m_present(m_manifest.digests.size(), false)
{
}

bool PieceChecklist::matches(unsigned piece, std::string_view bytes) const
{
    return piece < m_manifest.digests.size() && Base::sha256(bytes) == m_manifest.digests[piece];
}

bool PieceChecklist::isComplete() const
{
    return std::all_of(m_present.begin(), m_present.end(), [](bool present) { return present; });
}

std::vector<unsigned> PieceChecklist::missing() const
{
    std::vector<unsigned> pieces;
    for (unsigned piece = 0; piece < m_present.size(); ++piece) {
        if (!m_present[piece])
            pieces.push_back(piece);
    }
    return pieces;
}

} // namespace Lavenderloft::Staging
