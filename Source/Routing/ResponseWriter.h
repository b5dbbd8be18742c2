#pragma once

#include "Routing/RoutingError.h"
#include "Routing/TargetChannel.h"

#include <functional>

namespace Lavenderloft::Routing {

// Writes the response to one caller. Implementations only encode; they make no routing decisions.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    // Writes a complete error response. No other function is called.
    virtual void reject(const std::string& requestId, const RoutingError&) = 0;

    // Starts the response.
    virtual void head(const std::string& requestId, const ResponseHead&) = 0;

    // The next part follows only after `written` is called. `ok` is false if the caller has disconnected.
    virtual void data(std::string bytes, std::function<void(bool ok)> written) = 0;

    // Ends the response as complete.
    virtual void complete() = 0;

    // Ends the response in a way that the caller can detect as incomplete.
    virtual void abort() = 0;
};

} // namespace Lavenderloft::Routing
