#include "Base/Digest.h"
#include "Fuzzing/FuzzingChecks.h"
#include "Weights/Manifest.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using namespace Lavenderloft::Weights;
using Fuzzing::require;

namespace {

// Checks the properties that the chunk store and the transfers rely on in an accepted manifest.
void checkAccepted(const Manifest& manifest, std::string_view document)
{
    require(manifest.digest == Base::sha256(document));
    require(!manifest.model.empty() && !manifest.version.empty() && manifest.chunkBytes > 0 && !manifest.chunks.empty());
    size_t chunks = 0;
    for (auto& file : manifest.files)
        chunks += file.chunks.size();
    require(chunks == manifest.chunks.size());
    uint64_t distinctBytes = 0;
    for (auto& [digest, positions] : manifest.positions) {
        require(Base::isDigest(digest) && !positions.empty());
        auto bytes = manifest.chunks[positions.front()].bytes;
        // Memory is reserved according to this sum, so it must not overflow.
        require(!__builtin_add_overflow(distinctBytes, bytes, &distinctBytes));
        for (auto position : positions)
            require(position < manifest.chunks.size() && manifest.chunks[position].digest == digest && manifest.chunks[position].bytes == bytes);
    }
    require(distinctBytes == manifest.distinctBytes);
    for (auto& chunk : manifest.chunks)
        require(chunk.bytes > 0 && chunk.bytes <= manifest.chunkBytes);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string_view document(reinterpret_cast<const char*>(data), size);
    auto result = parseManifest(document);
    if (Base::succeeded(result)) {
        checkAccepted(Base::valueOf(result), document);
        return 0;
    }
    auto& error = Base::errorOf(result);
    require(error.kind == WeightErrorKind::MalformedManifest && !error.remedy.empty());
    Fuzzing::checkPrintable(error.describe());
    require(!Base::succeeded(parseManifest(document, std::string(Base::digestLength, '0'))));
    return 0;
}
