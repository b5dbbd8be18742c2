#include "Fuzzing/FuzzingChecks.h"
#include "Transport/WeightMessages.h"

#include "lavenderloft.pb.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using Fuzzing::require;

namespace v1 = ::lavenderloft::v1;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    v1::GetHoldingsResponse response;
    if (!response.ParseFromArray(data, static_cast<int>(size)))
        return 0;
    auto held = Transport::decodeBitmap(response.held());
    require(held.size() == response.held().size() * 8);
    require(Transport::encodeBitmap(held) == response.held());
    // A chunk count that is not a multiple of eight leaves padding in the last byte; the other bits must be preserved.
    if (held.empty())
        return 0;
    held.pop_back();
    auto shorter = Transport::decodeBitmap(Transport::encodeBitmap(held));
    require(std::equal(held.begin(), held.end(), shorter.begin()) && !shorter.back());
    return 0;
}
