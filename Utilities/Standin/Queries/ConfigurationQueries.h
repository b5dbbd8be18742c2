#pragma once

#include "Standin/ConfigurationState.h"

namespace Lavenderloft::Standin::Queries {

// The document that is served to readers; nullopt if none was published.
std::optional<PublishedDocument> visibleDocument(const ConfigurationState&);

bool isConfigurationDown(const ConfigurationState&);

ConfigurationCounters configurationCounters(const ConfigurationState&);

} // namespace Lavenderloft::Standin::Queries
