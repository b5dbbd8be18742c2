#include "Routing/Queries/ReadResolution.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Routing;

namespace {

constexpr uint64_t agentIncarnation = 7;

Permit makePermit()
{
    Permit permit;
    permit.agentIncarnation = agentIncarnation;
    return permit;
}

} // namespace

// Guards against a router that believes an agent which restarted and has no record of the attempt: the call may have
// run before the restart (invariant I5).
Test(Resolution, onlyTheAgentThatGrantedThePermitIsBelieved)
{
    cr_assert_eq(Queries::outcomeOf({ AttemptOutcome::NotRun, agentIncarnation }, makePermit()), AttemptOutcome::NotRun);
    cr_assert_eq(Queries::outcomeOf({ AttemptOutcome::NotRun, agentIncarnation + 1 }, makePermit()), AttemptOutcome::Unknown);
    cr_assert_eq(Queries::outcomeOf({ AttemptOutcome::Complete, agentIncarnation + 1 }, makePermit()), AttemptOutcome::Unknown);
}

// Guards against telling a caller that a call was not run when it may have run.
Test(Resolution, anUnresolvedCallIsNotReportedAsNotRun)
{
    LiveRequest request;
    request.key = "key-1";
    cr_assert_eq(Queries::resolvedError(AttemptOutcome::Unknown, request).outcome, Outcome::Unknown);
    cr_assert_eq(Queries::resolvedError(AttemptOutcome::Running, request).outcome, Outcome::Unknown);
    auto complete = Queries::resolvedError(AttemptOutcome::Complete, request);
    cr_assert_eq(complete.outcome, Outcome::Complete);
    cr_assert_neq(complete.remedy.find("key-1"), std::string::npos);
    cr_assert_eq(Queries::revokedFailure().kind, Queries::FailureKind::NotRun);
    cr_assert_eq(Queries::revokedFailure().error.outcome, Outcome::NotRun);
}
