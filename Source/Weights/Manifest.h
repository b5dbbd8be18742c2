#pragma once

// Weights: manifests, the chunk store, the choice of chunks and sources, and the life cycle of a transfer.
//
// A manifest lists the files of a model version and the SHA-256 of each chunk; the SHA-256 of the
// manifest document identifies the version. ChunkStore, TransferTable, PeerTable and UploadTable
// hold the state; Commands/ modify it and Queries/ read it. The module opens no sockets;
// ChunkSource and PeerClient are its interfaces to the network.

#include "Weights/WeightError.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Lavenderloft::Weights {

struct ManifestFile {
    std::string name;
    uint64_t bytes = 0;
    // Digests of the file's chunks in order; all chunks but the last have the manifest's chunk size.
    std::vector<std::string> chunks;
};

// A chunk of a manifest, in the order of the manifest's files.
struct ManifestChunk {
    std::string digest;
    uint64_t bytes = 0;
};

// The contents of one model version, immutable once parsed.
struct Manifest {
    // SHA-256 of the document's bytes.
    std::string digest;
    std::string model;
    std::string version;
    uint64_t chunkBytes = 0;
    std::vector<ManifestFile> files;
    std::vector<ManifestChunk> chunks;
    // Indexes into `chunks` by digest; a chunk may occur more than once.
    std::unordered_map<std::string, std::vector<unsigned>> positions;
    // Total size of the distinct chunks, which is the memory that the version needs.
    uint64_t distinctBytes = 0;
};

// Parses a manifest: a JSON object with "model", "version", "chunkSize" and "files", each file with "name", "size" and
// "chunks". Unknown and duplicate keys, wrong types and chunk counts that do not match the size are errors.
Base::Result<Manifest, WeightError> parseManifest(std::string_view document);

// Verifies that the document has the given digest, then parses it.
Base::Result<Manifest, WeightError> parseManifest(std::string_view document, const std::string& digest);

} // namespace Lavenderloft::Weights
