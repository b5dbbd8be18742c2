#pragma once

#include <map>
#include <set>
#include <string>

namespace Lavenderloft::Staging {

// Tracks what the sources delivered for pieces that do not match the manifest. Corruption on the way differs each time.
// The same bytes twice, in two responses of the origin or from two sources, mean that the manifest itself is wrong.
class MismatchEvidence {
public:
    // Which responses of a source are evidence of their own.
    enum class Source {
        // Reads the piece anew for each response.
        Origin,
        // May hold a piece that has turned bad, and send it again and again.
        Agent,
    };

    // Records the digest of bytes that did not match. Returns whether the manifest is contradicted.
    bool record(unsigned piece, const std::string& digest, Source, const std::string& address);

    // Discards what was recorded, because the manifest is fetched again.
    void clear() { m_sourcesByDigest.clear(); }

private:
    using SourcesByDigest = std::map<std::string, std::set<std::string>>;

    // Digests remembered for a piece, so that corruption that never ends does not use up memory.
    static constexpr size_t maximumDigests = 16;

    std::map<unsigned, SourcesByDigest> m_sourcesByDigest;
};

} // namespace Lavenderloft::Staging
