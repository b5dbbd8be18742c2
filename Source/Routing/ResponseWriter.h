#pragma once

#include "Routing/RoutingError.h"
#include "Routing/TargetChannel.h"

#include <functional>

namespace Lavenderloft::Routing {

// Takes the answer to one request for its caller. A front end implements it by encoding only.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    // A whole answer that reports an error; the only call then.
    virtual void reject(const std::string& requestId, const RoutingError&) = 0;

    // Starts an answer.
    virtual void head(const std::string& requestId, const ResponseHead&) = 0;

    // The next part is given only after the callback; false means that the caller has gone.
    virtual void data(std::string bytes, std::function<void(bool ok)> written) = 0;

    // Marks the answer as whole.
    virtual void complete() = 0;

    // Ends the answer so that it cannot be taken for whole.
    virtual void abort() = 0;
};

} // namespace Lavenderloft::Routing
