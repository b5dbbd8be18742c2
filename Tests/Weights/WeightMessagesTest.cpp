#include "Transport/WeightMessages.h"
#include "Base/Digest.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;

// Guards against requests that name a different version than intended, and against encoding strings that are not digests.
Test(WeightMessages, carryDigestsAsBytes)
{
    auto digest = Base::sha256("model");
    auto bytes = Transport::encodeDigest(digest);
    cr_assert_eq(bytes.size(), 32);
    cr_assert(Transport::decodeDigest(bytes) == digest);
    cr_assert(Transport::encodeDigest("no digest").empty());
    cr_assert(Transport::encodeDigest(digest + "00").empty());
    cr_assert(Transport::decodeDigest("").empty());
}
