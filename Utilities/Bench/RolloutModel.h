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
    // Every chunk whose index is a multiple of this differs between versions; the others are shared. One makes all differ.
    size_t changedEvery = 1;
};

// A model version with random contents that depend on the seed only.
struct Model {
    std::string digest;
    // The manifest's bytes.
    std::string document;
    // Contents of the chunks by digest.
    std::map<std::string, std::string> chunks;
    uint64_t totalBytes = 0;
};

Model makeModel(const ModelShape&);

} // namespace Lavenderloft::Bench
