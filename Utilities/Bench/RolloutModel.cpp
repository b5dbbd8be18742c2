#include "Bench/RolloutModel.h"

#include "Base/Digest.h"
#include "Base/RendezvousHash.h"
#include "Base/SeededRandom.h"

#include <nlohmann/json.hpp>

namespace Lavenderloft::Bench {

namespace {

    std::string randomBytes(size_t count, uint64_t seed)
    {
        Base::SeededRandom random(seed);
        std::string bytes;
        bytes.reserve(count + sizeof(uint64_t));
        while (bytes.size() < count) {
            auto number = random.next();
            bytes.append(reinterpret_cast<const char*>(&number), sizeof(number));
        }
        bytes.resize(count);
        return bytes;
    }

} // namespace

Model makeModel(const ModelShape& shape)
{
    Model model;
    auto digests = nlohmann::ordered_json::array();
    for (size_t i = 0; i < shape.chunkCount; ++i) {
        auto name = (i % shape.changedEvery ? "shared" : "version " + shape.version) + " chunk " + std::to_string(i);
        auto bytes = randomBytes(shape.chunkBytes, Base::stableHash(name, shape.seed));
        auto digest = Base::sha256(bytes);
        digests.push_back(digest);
        model.totalBytes += bytes.size();
        model.chunks.emplace(digest, std::move(bytes));
    }
    nlohmann::ordered_json file { { "name", "weights.bin" }, { "size", shape.chunkCount * shape.chunkBytes }, { "chunks", digests } };
    nlohmann::ordered_json document { { "model", "bench" }, { "version", shape.version }, { "chunkSize", shape.chunkBytes }, { "files", { file } } };
    model.document = document.dump();
    model.digest = Base::sha256(model.document);
    return model;
}

} // namespace Lavenderloft::Bench
