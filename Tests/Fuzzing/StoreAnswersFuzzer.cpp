#include "Fuzzing/FuzzingChecks.h"
#include "platform/EngineCodec.h"
#include "platform/StoreCodec.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using Fuzzing::require;

// Decodes responses of the store and the items in them. Other programs write to the store too, so an item may hold any
// bytes; the decoder must return nothing or a complete entry.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string bytes(reinterpret_cast<const char*>(data), size);
    Platform::StoreCodec codec;
    auto changes = codec.readChanges({ 200, {}, bytes });
    if (Base::succeeded(changes)) {
        for (auto& item : Base::valueOf(changes).changes)
            codec.decode(item);
    }
    for (auto* key : { "servers/i-1", "op/config", "op/version/m" }) {
        auto publication = codec.decode({ key, bytes, 1, false, {} });
        if (auto* target = std::get_if<Fleet::TargetPublished>(&publication))
            require(target->entry.id == "i-1" && !target->entry.service.empty() && target->entry.address.port > 0);
        if (auto* published = std::get_if<Fleet::ConfigurationPublished>(&publication))
            require(published->configuration != nullptr);
    }
    Platform::EngineCodec().readReport({ 200, {}, bytes });
    Platform::EngineCodec().readManifest({ 200, {}, bytes });
    return 0;
}
