#include "Standin/SyntheticModel.h"

#include "Base/Digest.h"
#include "Base/RendezvousHash.h"

#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

namespace Lavenderloft::Standin {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr uint64_t maximumChunkBytes = 64 * 1024 * 1024;

    std::string serializeDescription(const ModelDescription& description)
    {
        Json text { { "model", description.model }, { "version", description.version }, { "sizeBytes", description.sizeBytes }, { "chunkSize", description.chunkSize } };
        return text.dump();
    }

    std::optional<ModelDescription> parseDescription(std::string_view bytes)
    {
        auto text = Json::parse(bytes, nullptr, false);
        if (!text.is_object())
            return std::nullopt;
        try {
            return ModelDescription { text.at("model"), text.at("version"), text.at("sizeBytes"), text.at("chunkSize") };
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

    uint64_t weightChunkCount(const ModelDescription& description)
    {
        if (description.chunkSize == 0)
            return 0;
        return (description.sizeBytes + description.chunkSize - 1) / description.chunkSize;
    }

    uint64_t weightChunkSize(const ModelDescription& description, uint64_t index)
    {
        return std::min(description.chunkSize, description.sizeBytes - index * description.chunkSize);
    }

    bool isValid(const ModelDescription& description)
    {
        return description.sizeBytes > 0 && description.chunkSize > 0 && description.chunkSize <= maximumChunkBytes;
    }

    // Digests of the chunks of all files in order; nullopt if the manifest is malformed.
    std::optional<std::vector<std::string>> parseChunkDigests(std::string_view manifest)
    {
        try {
            std::vector<std::string> chunks;
            auto object = Json::parse(manifest);
            for (auto& file : object.at("files")) {
                for (auto& chunk : file.at("chunks"))
                    chunks.push_back(chunk);
            }
            return chunks;
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

    std::string randomBytes(uint64_t seed, size_t size)
    {
        std::mt19937_64 engine(seed);
        std::string bytes(size, '\0');
        for (size_t offset = 0; offset < size; offset += sizeof(uint64_t)) {
            uint64_t word = engine();
            std::memcpy(bytes.data() + offset, &word, std::min(sizeof(word), size - offset));
        }
        return bytes;
    }

} // namespace

std::string buildManifest(const ModelDescription& description, const std::string& descriptionChunk, const std::vector<std::string>& weightDigests)
{
    Json manifest;
    manifest["model"] = description.model;
    manifest["version"] = description.version;
    manifest["chunkSize"] = description.chunkSize;
    manifest["files"] = Json::array();
    manifest["files"].push_back({ { "name", "model.json" }, { "size", descriptionChunk.size() }, { "chunks", { Base::sha256(descriptionChunk) } } });
    manifest["files"].push_back({ { "name", "weights.bin" }, { "size", description.sizeBytes }, { "chunks", weightDigests } });
    return manifest.dump();
}

Base::Result<SyntheticModel, ModelError> SyntheticModel::generate(ModelSpec spec)
{
    if (!isValid(spec.description) || serializeDescription(spec.description).size() > spec.description.chunkSize || spec.sharedPercent > 100)
        return ModelError { ModelErrorKind::InvalidSpec, "model size, chunk size or shared percentage is out of range", "use sizes above zero, a chunk size from 256 bytes to 64 MiB and a shared percentage up to 100" };
    SyntheticModel model;
    model.m_spec = std::move(spec);
    auto& description = model.m_spec.description;
    std::vector<std::string> weightDigests;
    for (uint64_t i = 0; i < weightChunkCount(description); ++i)
        weightDigests.push_back(Base::sha256(model.weightChunk(i)));
    auto descriptionChunk = serializeDescription(description);
    model.m_manifest = buildManifest(description, descriptionChunk, weightDigests);
    model.m_digest = Base::sha256(model.m_manifest);
    model.m_chunkDigests.push_back(Base::sha256(descriptionChunk));
    model.m_chunkDigests.insert(model.m_chunkDigests.end(), weightDigests.begin(), weightDigests.end());
    return model;
}

uint64_t SyntheticModel::totalBytes() const
{
    return m_spec.description.sizeBytes + serializeDescription(m_spec.description).size();
}

std::string SyntheticModel::chunk(size_t index) const
{
    return index == 0 ? serializeDescription(m_spec.description) : weightChunk(index - 1);
}

std::string SyntheticModel::weightChunk(uint64_t index) const
{
    auto& description = m_spec.description;
    bool isShared = index * 100 < weightChunkCount(description) * m_spec.sharedPercent;
    auto seed = Base::stableHash(description.model + (isShared ? "" : "/" + description.version) + "/" + std::to_string(index), m_spec.seed);
    return randomBytes(seed, weightChunkSize(description, index));
}

Base::Result<Base::Done, ModelError> ModelVerifier::setManifest(std::string_view manifest, const std::string& digest)
{
    auto chunks = parseChunkDigests(manifest);
    if (Base::sha256(manifest) != digest || !chunks)
        return ModelError { ModelErrorKind::InvalidManifest, "manifest is malformed or does not have the digest " + digest, "send the manifest unchanged" };
    *this = ModelVerifier();
    m_manifestDigest = digest;
    m_expectedChunks = std::move(*chunks);
    return Base::Done {};
}

void ModelVerifier::discardChunks()
{
    ModelVerifier emptied;
    emptied.m_manifestDigest = std::move(m_manifestDigest);
    emptied.m_expectedChunks = std::move(m_expectedChunks);
    *this = std::move(emptied);
}

Base::Result<Base::Done, ModelError> ModelVerifier::add(std::string_view bytes)
{
    auto added = !m_manifestDigest.empty() ? addExpected(bytes) : m_received == 0 ? addDescription(bytes)
                                                                                  : addWeights(bytes);
    if (Base::succeeded(added))
        ++m_received;
    return added;
}

Base::Result<Base::Done, ModelError> ModelVerifier::addExpected(std::string_view bytes)
{
    if (m_received >= m_expectedChunks.size() || Base::sha256(bytes) != m_expectedChunks[m_received])
        return ModelError { ModelErrorKind::WrongChunk, "chunk " + std::to_string(m_received) + " does not match the manifest", "send the chunks of the manifest unchanged" };
    return Base::Done {};
}

Base::Result<Base::Done, ModelError> ModelVerifier::addDescription(std::string_view bytes)
{
    auto description = parseDescription(bytes);
    if (!description || !isValid(*description))
        return ModelError { ModelErrorKind::InvalidDescription, "chunk 0 is not a model description", "send the chunks in the order of the manifest" };
    m_description = std::move(*description);
    m_descriptionChunk = std::string(bytes);
    return Base::Done {};
}

Base::Result<Base::Done, ModelError> ModelVerifier::addWeights(std::string_view bytes)
{
    auto index = m_weightDigests.size();
    if (index >= weightChunkCount(m_description) || bytes.size() != weightChunkSize(m_description, index))
        return ModelError { ModelErrorKind::WrongChunk, "chunk " + std::to_string(m_received) + " has the wrong size or exceeds the number of chunks", "send the chunks of the manifest unchanged" };
    m_weightDigests.push_back(Base::sha256(bytes));
    return Base::Done {};
}

Base::Result<std::string, ModelError> ModelVerifier::digest() const
{
    bool hasManifest = !m_manifestDigest.empty();
    auto expected = hasManifest ? m_expectedChunks.size() : 1 + weightChunkCount(m_description);
    if (m_received == 0 || m_received < expected)
        return ModelError { ModelErrorKind::Incomplete, "model is incomplete after " + std::to_string(m_received) + " chunks", "send all chunks before the load order" };
    if (hasManifest)
        return m_manifestDigest;
    return Base::sha256(buildManifest(m_description, m_descriptionChunk, m_weightDigests));
}

} // namespace Lavenderloft::Standin
