#pragma once

#include "Weights/Manifest.h"
#include "Weights/PeerClient.h"

#include <vector>

namespace Lavenderloft::Weights::Queries {

// Who brings a chunk into a region, decided from the list of participants alone, so that all agents that know
// the same participants agree without a message.
struct ChunkDuty {
    // VMs of the own region in order of rank, the first ones only.
    std::vector<std::string> ranked;
    // Whether the own region reads the chunk from the origin.
    bool fromOrigin = false;
    // Other regions from which the chunk may come, the preferred one first; in each the first VMs in rank.
    std::vector<std::vector<std::string>> upstream;
};

struct ChunkDuties {
    // For the manifest itself, then for each chunk.
    ChunkDuty manifest;
    std::vector<ChunkDuty> chunks;
    // Agents of all regions that have duties.
    std::vector<Participant> agents;
};

// The first agents of each region by rendezvous hashing of the manifest's digest have duties; among them each chunk's
// digest ranks. Few agents with duties share the link to another region more evenly than many, because the
// part of the link that a sender may use is fixed and the number of its chunks is left to chance. The regions form a chain for each chunk: the store's region
// first, the others in an order that depends on the chunk. Each region takes the chunk from the one before it, so
// that the store's region sends a chunk out once and each region receives it once.
ChunkDuties assignDuties(const Manifest&, const std::vector<Participant>&, const std::string& ownRegion, const std::string& storeRegion);

// As above for the manifest alone, before it is known.
ChunkDuty assignManifestDuty(const std::string& manifestDigest, const std::vector<Participant>&, const std::string& ownRegion, const std::string& storeRegion);

} // namespace Lavenderloft::Weights::Queries
