#include "Fuzzing/FuzzingChecks.h"
#include "Settings/Queries/ParseSettings.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using Fuzzing::require;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    auto result = Settings::Queries::parseSettings({ reinterpret_cast<const char*>(data), size });
    if (!Base::succeeded(result)) {
        Fuzzing::checkError(Base::errorOf(result));
        return 0;
    }
    auto& settings = Base::valueOf(result);
    require(Json::isName(settings.vm) && Json::isName(settings.region) && Json::isName(settings.dataCentre));
    require(Json::isAddress(settings.inner, Json::PortRule::MayBeZero) && Json::isAddress(settings.admin, Json::PortRule::MayBeZero));
    require(Json::isAddress(settings.configurationService, Json::PortRule::MustBeNonZero));
    require(settings.callers.empty() == settings.target.has_value());
    require(settings.rolloutShareOfLink > 0 && settings.rolloutShareOfLink <= 1);
    require(settings.tls.has_value() != settings.plainTextOnLoopback);
    require(settings.tls || Json::isLoopbackAddress(settings.inner));
    if (settings.target)
        require(Json::isAddress(settings.target->endpoint, Json::PortRule::MustBeNonZero));
    return 0;
}
