#pragma once

#include "Routing/RequestLog.h"
#include "Routing/RequestState.h"
#include "Routing/ResponseForwarder.h"
#include "Routing/ResponseWriter.h"
#include "Routing/RoutingError.h"

#include <string>

namespace Lavenderloft::Routing {

// Ends one request: cancels its attempt, releases what it holds and tells the caller. All methods are called with the
// state's lock held, and release it before calling the attempt or the writer. The arguments of the constructor must
// outlive it.
class RequestEnding {
public:
    using Lock = RequestState::Lock;

    RequestEnding(RoutingContext&, const LiveRequest&, const RequestLog&, RequestState&, ResponseForwarder&, ResponseWriter&);

    // Returns the error to the caller, or aborts the response if a part of it was sent.
    void fail(Lock, RoutingError);

    // Ends the response in a way that can't be taken for a complete one.
    void abort(Lock, const std::string& reason);

    // Ends the request because its caller has disconnected.
    void callerGone(Lock);

    void complete(Lock);

private:
    // Returns the attempt to cancel, if any.
    std::shared_ptr<Attempt> finish(const char* result);
    void abortWriter(Lock, const char* result);

    RoutingContext& m_context;
    const LiveRequest& m_request;
    const RequestLog& m_log;
    RequestState& m_state;
    ResponseForwarder& m_forwarder;
    ResponseWriter& m_writer;
};

} // namespace Lavenderloft::Routing
