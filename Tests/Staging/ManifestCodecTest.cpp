#include "Staging/ManifestCodec.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

// Guards against digests that are lost or reordered between agents: every piece would fail verification.
Test(ManifestCodec, keepsAllDigestsInOrder)
{
    auto decoded = decodeManifest(encodeManifest({ "m", 7, { "aa", "bb", "aa" } }));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->model, "m");
    cr_assert_eq(decoded->version, 7);
    cr_assert(decoded->digests == std::vector<std::string>({ "aa", "bb", "aa" }));
    cr_assert_eq(encodeManifestPath("m", 7), "/manifest/m/7");
}

// Guards against accepting an error page or a manifest without pieces, which would count as complete weights.
Test(ManifestCodec, rejectsInvalidManifests)
{
    cr_assert_not(decodeManifest("").has_value());
    cr_assert_not(decodeManifest("<html>not found</html>").has_value());
    cr_assert_not(decodeManifest(encodeManifest({ "m", 7, {} })).has_value());
}
