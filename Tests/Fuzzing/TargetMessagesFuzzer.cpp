#include "Fuzzing/FuzzingChecks.h"
#include "Transport/TargetCodec.h"
#include "Transport/TargetMessages.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using Fuzzing::require;

namespace v1 = ::lavenderloft::v1;

namespace {

// Messages that an agent decodes.
void checkRequest(const v1::ExecuteRequest& message)
{
    auto admit = Transport::decodeAdmit(message.admit());
    require(static_cast<size_t>(admit.priorityClass) < DesiredState::priorityClassCount);
    require(admit.deadline.count() >= 0);
    auto head = Transport::decodeHead(message.head());
    require(head.headers.size() == static_cast<size_t>(message.head().headers_size()));
}

// Messages that a router decodes.
void checkResponse(v1::ExecuteResponse& message)
{
    require(Transport::decodePermit(message.permit()).lifetime.count() >= 0);
    auto refusal = Transport::decodeRefusal(message.refusal());
    require(refusal.kind >= Routing::RefusalKind::AtLimit && refusal.kind <= Routing::RefusalKind::Unspecified);
    require(refusal.retryAfter.count() >= 0);
    auto end = Transport::decodeEnd(message.end());
    // END_STATUS_COMPLETE alone marks a response as complete.
    require((end.kind == Routing::EndKind::Complete) == (message.end().status() == v1::END_STATUS_COMPLETE));
    auto load = Transport::decodeLoad(message.load());
    require(Transport::encodeLoad(load).SerializeAsString().size() <= message.load().ByteSizeLong());
    if (!message.has_head())
        return;
    auto headers = message.head().headers_size();
    auto head = Transport::decodeHead(std::move(*message.mutable_head()));
    require(head.headers.size() == static_cast<size_t>(headers));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    auto length = static_cast<int>(size);
    if (v1::ExecuteRequest request; request.ParseFromArray(data, length))
        checkRequest(request);
    if (v1::ExecuteResponse response; response.ParseFromArray(data, length))
        checkResponse(response);
    if (v1::ResolveAttemptResponse response; response.ParseFromArray(data, length)) {
        auto resolution = Transport::decodeResolution(response);
        // ATTEMPT_OUTCOME_NOT_RUN alone permits sending a call again.
        require((resolution.outcome == Routing::AttemptOutcome::NotRun) == (response.outcome() == v1::ATTEMPT_OUTCOME_NOT_RUN));
    }
    return 0;
}
