#include "Staging/MismatchEvidence.h"

namespace Lavenderloft::Staging {

bool MismatchEvidence::record(unsigned piece, const std::string& digest, Source kind, const std::string& address)
{
    auto& sourcesByDigest = m_sourcesByDigest[piece];
    if (sourcesByDigest.size() >= maximumDigests)
        sourcesByDigest.clear();
    auto& sources = sourcesByDigest[digest];
    bool wasSeen = !sources.empty();
    bool isNewSource = sources.insert(address).second;
    return wasSeen && (isNewSource || kind == Source::Origin);
}

} // namespace Lavenderloft::Staging
