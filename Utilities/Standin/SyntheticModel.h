#pragma once

#include "Base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Generated models. A model has two files: `model.json`, a single chunk with the model's description, and `weights.bin`,
// pseudo-random bytes. The manifest depends only on the description and the digests of the chunks, so a receiver of all
// chunks in order can rebuild the manifest and the digest of the version.
namespace Lavenderloft::Standin {

struct ModelDescription {
    std::string model;
    std::string version;
    // Size of weights.bin and of its chunks, in bytes.
    uint64_t sizeBytes = 0;
    uint64_t chunkSize = 0;

    bool operator==(const ModelDescription&) const = default;
};

struct ModelSpec {
    ModelDescription description;
    uint64_t seed = 1;
    // Percentage of the chunks of weights.bin, counted from the first, that are equal in all versions of the model.
    unsigned sharedPercent = 0;
};

enum class ModelErrorKind {
    InvalidSpec,
    InvalidDescription,
    InvalidManifest,
    WrongChunk,
    Incomplete,
};

using ModelError = Base::Error<ModelErrorKind>;

// Returns the manifest of a model as JSON.
std::string buildManifest(const ModelDescription&, const std::string& descriptionChunk, const std::vector<std::string>& weightDigests);

// Model generated from a seed. Chunk 0 is model.json. Chunks are generated at each call and not stored.
class SyntheticModel {
public:
    static Base::Result<SyntheticModel, ModelError> generate(ModelSpec);

    const ModelSpec& spec() const { return m_spec; }
    const std::string& manifest() const { return m_manifest; }
    const std::string& digest() const { return m_digest; }
    const std::vector<std::string>& chunkDigests() const { return m_chunkDigests; }

    // Total size of all chunks.
    uint64_t totalBytes() const;

    std::string chunk(size_t index) const;

private:
    std::string weightChunk(uint64_t index) const;

    ModelSpec m_spec;
    std::string m_manifest;
    std::string m_digest;
    std::vector<std::string> m_chunkDigests;
};

// Computes the digest of a version from its chunks. Stores the digests of the chunks, not their bytes. If a manifest is
// set, each chunk is verified against it; otherwise the manifest is rebuilt from the chunks.
class ModelVerifier {
public:
    // Discards all state and sets the manifest, whose SHA-256 must equal the digest.
    Base::Result<Base::Done, ModelError> setManifest(std::string_view manifest, const std::string& digest);

    // Discards the received chunks and keeps the manifest.
    void discardChunks();

    // Adds the next chunk, in the order of the manifest.
    Base::Result<Base::Done, ModelError> add(std::string_view bytes);

    size_t chunksReceived() const { return m_received; }

    // SHA-256 of the manifest of the received chunks; an error while chunks are missing.
    Base::Result<std::string, ModelError> digest() const;

private:
    Base::Result<Base::Done, ModelError> addExpected(std::string_view bytes);
    Base::Result<Base::Done, ModelError> addDescription(std::string_view bytes);
    Base::Result<Base::Done, ModelError> addWeights(std::string_view bytes);

    std::string m_manifestDigest;
    std::vector<std::string> m_expectedChunks;
    ModelDescription m_description;
    std::string m_descriptionChunk;
    std::vector<std::string> m_weightDigests;
    size_t m_received = 0;
};

} // namespace Lavenderloft::Standin
