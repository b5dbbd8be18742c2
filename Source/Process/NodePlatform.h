#pragma once

#include "Fleet/NodeSettings.h"
#include "Fleet/Publication.h"
#include "Fleet/StoreProtocol.h"
#include "Proxy/CallerProtocol.h"
#include "Staging/EngineProtocol.h"

namespace Lavenderloft::Process {

// The platform on which a node runs: where its settings come from and in which formats its parts speak.
class NodePlatform {
public:
    virtual ~NodePlatform() = default;

    // Reads the settings of this process as they are now.
    virtual Base::Result<Fleet::NodeSettings, Fleet::NodeSettingsError> readSettings() const = 0;

    virtual const Fleet::StoreProtocol& store() const = 0;
    virtual const Fleet::PublicationDecoder& publications() const = 0;
    virtual const Proxy::CallerProtocol& callers() const = 0;
    virtual const Staging::EngineProtocol& engines() const = 0;
};

} // namespace Lavenderloft::Process
