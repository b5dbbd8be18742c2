#pragma once

#include "Fleet/NodeSettings.h"
#include "Fleet/Publication.h"
#include "Fleet/StoreProtocol.h"
#include "Proxy/CallerProtocol.h"
#include "Staging/EngineProtocol.h"

namespace Lavenderloft::Process {

// Adapter to the platform on which a node runs: source of the settings and the protocols of its components.
class NodePlatform {
public:
    virtual ~NodePlatform() = default;

    // Reads the current settings of this process.
    virtual Base::Result<Fleet::NodeSettings, Fleet::NodeSettingsError> readSettings() const = 0;

    virtual const Fleet::StoreProtocol& store() const = 0;
    virtual const Fleet::PublicationDecoder& publications() const = 0;
    virtual const Proxy::CallerProtocol& callers() const = 0;
    virtual const Staging::EngineProtocol& engines() const = 0;
};

} // namespace Lavenderloft::Process
