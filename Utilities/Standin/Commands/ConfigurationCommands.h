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

// Publishes a document. Its revision is the member "revision" or, without one, the last revision plus one, so that
// invalid documents can be published too.
void publishDocument(ConfigurationState&, std::string text);

// Serves the newest document with that revision until unfreezeConfiguration.
Base::Result<Base::Done, ConfigurationError> freezeConfiguration(ConfigurationState&, uint64_t revision);
void unfreezeConfiguration(ConfigurationState&);

void setConfigurationDown(ConfigurationState&, bool down);

void countCall(ConfigurationState&, CallKind);

} // namespace Lavenderloft::Standin::Commands
