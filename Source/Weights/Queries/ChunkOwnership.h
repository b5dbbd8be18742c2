#pragma once

#include "Weights/Manifest.h"
#include "Weights/PeerClient.h"

#include <vector>

namespace Lavenderloft::Weights::Queries {

// Which agent fetches a chunk into a region. Computed from the list of participants alone, so that all agents with
// the same list agree without coordination.
struct ChunkOwnership {
    // The highest-ranked VMs of the own region in order of rank. The first one owns the chunk.
    std::vector<std::string> ranked;
    // Whether the own region fetches the chunk from the origin.
    bool fromOrigin = false;
    // Other regions that may provide the chunk, the preferred one first; the highest-ranked VMs of each.
    std::vector<std::vector<std::string>> upstream;
};

struct ManifestOwnership {
    // Of the manifest itself, then of each chunk.
    ChunkOwnership manifest;
    std::vector<ChunkOwnership> chunks;
    // Agents of all regions that own chunks.
    std::vector<Participant> agents;
};

// In each region the first agents by rendezvous hashing of the manifest's digest own chunks; the chunk's digest ranks
// them. A few owners share the link to another region more evenly than many, because each sender has a fixed part of
// the link but a random number of chunks. For each chunk the regions form a chain: the store's region first, the
// others in an order that depends on the chunk. Each region fetches the chunk from the one before it, so that the
// store's region sends it once and each region receives it once.
ManifestOwnership assignOwnership(const Manifest&, const std::vector<Participant>&, const std::string& ownRegion, const std::string& storeRegion);

// The same for the manifest itself, before it has arrived.
ChunkOwnership assignManifestOwnership(const std::string& manifestDigest, const std::vector<Participant>&, const std::string& ownRegion, const std::string& storeRegion);

} // namespace Lavenderloft::Weights::Queries
