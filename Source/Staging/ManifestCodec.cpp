#include "Staging/ManifestCodec.h"

#include "peering.pb.h"

namespace Lavenderloft::Staging {

namespace protocol = lavenderloft::peering::v1;

std::string encodeManifestPath(const std::string& model, uint64_t version)
{
    return std::string(manifestPathPrefix) + model + "/" + std::to_string(version);
}

std::string encodeManifest(const PieceManifest& manifest)
{
    protocol::Manifest encoded;
    encoded.set_model(manifest.model);
    encoded.set_version(manifest.version);
    for (auto& digest : manifest.digests)
        encoded.add_digests(digest);
    return encoded.SerializeAsString();
}

std::optional<PieceManifest> decodeManifest(const std::string& bytes)
{
    protocol::Manifest encoded;
    if (!encoded.ParseFromString(bytes) || encoded.digests().empty())
        return std::nullopt;
    return PieceManifest { encoded.model(), encoded.version(), { encoded.digests().begin(), encoded.digests().end() } };
}

} // namespace Lavenderloft::Staging
