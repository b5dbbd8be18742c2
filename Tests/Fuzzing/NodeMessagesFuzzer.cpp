#include "Fuzzing/FuzzingChecks.h"
#include "Peering/PeeringCodec.h"
#include "Proxy/EventSplitter.h"
#include "Staging/ManifestCodec.h"
#include "Staging/PieceName.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using Fuzzing::require;

// Decodes data that other nodes and targets send: datagrams, items, piece names, manifests and event streams.
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
    // The output of the splitter must not depend on how the stream is divided into reads.
    Proxy::EventSplitter whole;
    Proxy::EventSplitter divided;
    auto expected = whole.take(bytes) + whole.remainder();
    auto half = bytes.size() / 2;
    auto received = divided.take(bytes.substr(0, half));
    received += divided.take(bytes.substr(half));
    require(received + divided.remainder() == expected && expected == bytes);
    return 0;
}
