#include "Fuzzing/FuzzingChecks.h"
#include "platform/BoundedNumbers.h"
#include "platform/EngineCodec.h"
#include "platform/StoreCodec.h"
#include "Json/BoundedParser.h"
#include "Json/Splitter.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using Fuzzing::require;

namespace {

void checkDuration(std::chrono::milliseconds duration)
{
    require(duration >= std::chrono::milliseconds(0) && duration <= Platform::longestDuration);
}

void checkTarget(const Fleet::TargetEntry& entry)
{
    require(entry.id == "i-1" && !entry.service.empty() && entry.address.port > 0);
    require(entry.address.host.find_first_not_of("0123456789abcdefABCDEF.:") == std::string::npos);
    checkDuration(entry.coldRemaining);
    require(!entry.layers || entry.layers->from < entry.layers->to);
}

void checkConfiguration(const Fleet::Configuration& configuration)
{
    for (auto& [host, routes] : configuration.routes) {
        for (auto& route : routes) {
            checkDuration(route->timeout);
            require(!route->services.empty() && route->maximumAttempts > 0);
            for (auto& part : route->services)
                require(part.weight > 0);
        }
    }
    for (auto& [name, service] : configuration.services)
        checkDuration(service.coldStart);
}

// Splitting must not refuse what the parser accepts.
void checkSplitting(const std::string& bytes)
{
    auto document = Json::parseBounded(bytes);
    if (!Base::succeeded(document))
        return;
    require(!Base::valueOf(document).is_object() || Json::splitObject(bytes).has_value());
    auto elements = Json::splitArray(bytes);
    require(!Base::valueOf(document).is_array() || (elements && elements->size() == Base::valueOf(document).size()));
}

} // namespace

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
            checkTarget(target->entry);
        if (auto* published = std::get_if<Fleet::ConfigurationPublished>(&publication))
            checkConfiguration(*published->configuration);
    }
    codec.readList({ 200, {}, bytes });
    checkSplitting(bytes);
    Platform::EngineCodec().readReport({ 200, {}, bytes });
    Platform::EngineCodec().readManifest({ 200, {}, bytes });
    return 0;
}
