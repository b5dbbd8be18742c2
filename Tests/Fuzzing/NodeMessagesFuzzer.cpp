#include "Fuzzing/FuzzingChecks.h"
#include "Peering/PeeringCodec.h"
#include "Proxy/EventSplitter.h"
#include "Staging/ManifestCodec.h"
#include "Staging/PieceName.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using Fuzzing::require;

// Decodes what other nodes and targets send: datagrams, items, names of pieces, manifests and event streams.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string bytes(reinterpret_cast<const char*>(data), size);
    if (auto message = Peering::decodeMessage(bytes))
        require(Peering::decodeMessage(Peering::encodeMessage(*message)).has_value());
    if (auto batch = Peering::decodeItems(bytes))
        require(Peering::decodeItems(Peering::encodeItems(*batch))->items.size() == batch->items.size());
    if (auto name = Staging::decodePiecePath(bytes))
        require(Staging::decodePiecePath(Staging::encodePiecePath(*name)) == name);
    if (auto manifest = Staging::decodeManifest(bytes))
        require(Staging::decodeManifest(Staging::encodeManifest(*manifest))->digests == manifest->digests);
    // A stream is the same however its bytes are cut.
    Proxy::EventSplitter whole;
    Proxy::EventSplitter cut;
    auto expected = whole.take(bytes) + whole.remainder();
    auto half = bytes.size() / 2;
    auto received = cut.take(bytes.substr(0, half));
    received += cut.take(bytes.substr(half));
    require(received + cut.remainder() == expected && expected == bytes);
    return 0;
}
