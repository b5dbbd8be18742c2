#pragma once

#include "Base/Result.h"
#include "Standin/ConfigurationState.h"

namespace Lavenderloft::Standin::Commands {

enum class ConfigurationErrorKind {
    UnknownRevision,
};

using ConfigurationError = Base::Error<ConfigurationErrorKind>;

enum class CallKind {
    Read,
    Watch,
    Limited,
    CutOff,
};

// Publishes a text. Its revision is the member "revision", or one more than the last if it has none,
// so that invalid documents can be published as well.
void publishDocument(ConfigurationState&, std::string text);

// Shows readers the newest document with that revision until unfreezeConfiguration.
Base::Result<Base::Done, ConfigurationError> freezeConfiguration(ConfigurationState&, uint64_t revision);
void unfreezeConfiguration(ConfigurationState&);

void setConfigurationDown(ConfigurationState&, bool down);

void countCall(ConfigurationState&, CallKind);

} // namespace Lavenderloft::Standin::Commands
