#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Lavenderloft::Bench {

struct ModelShape {
    std::string version = "1";
    size_t chunkCount = 16;
    size_t chunkBytes = 4096;
    uint64_t seed = 1;
    // Chunks whose index is a multiple of this differ between versions, the others are shared; 1 shares none.
    size_t changedEvery = 1;
};

// A model version with pseudo-random chunks, reproducible from its ModelShape.
struct Model {
    std::string digest;
    // The serialised manifest, whose digest is `digest`.
    std::string document;
    // Chunk contents by digest.
    std::map<std::string, std::string> chunks;
    uint64_t totalBytes = 0;
};

Model makeModel(const ModelShape&);

} // namespace Lavenderloft::Bench
