#include "EndToEnd/TestFleet.h"
#include "Transport/TargetFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// A process detects a pause by a gap of more than 2 s between two ticks.
constexpr auto pauseDuration = 3s;

protocol::Admit makeAdmit(const std::string& attempt)
{
    return RouterCall::makeAdmit(attempt, "", 4);
}

} // namespace

// Guards against an agent that acts on outdated state after a pause. Until a peer has responded, it must refuse new
// requests, and bodies sent under permits granted before the pause.
Test(Pause, agentGrantsNothingUntilItHasSynchronised)
{
    TestFleet fleet;
    fleet.declareService({ "ledger-1" });
    fleet.publish();
    Standin::PlainService service({});
    auto router = fleet.startRouter("router-1", "dc-1");
    auto agent = fleet.startServiceAgent("ledger-1", "dc-1", service);
    auto stub = protocol::TargetService::NewStub(grpc::CreateChannel(agent->faults().address(), grpc::InsecureChannelCredentials()));
    waitUntil("the agent to accept requests", [&] { return agent->control().self().load.accepting; });
    RouterCall early(*stub);
    auto permit = early.admit(makeAdmit("early"));
    cr_assert(permit.has_permit());

    // The resumed agent reaches no peer, and its clock is stopped, so that it does not proceed without one after a
    // timeout.
    fleet.networkFaults.setPartition({ agent->faults().address() });
    agent->faults().setDisconnectedFromPlatform(true);
    agent->faults().clock().advanceAndStop(pauseDuration);
    early.sendBody(permit.permit().permit_id(), "late");
    early.readResponse();
    cr_assert(!early.end.has_end() || early.end.end().status() != protocol::END_STATUS_COMPLETE);
    for (int i = 0; i < 5; ++i) {
        RouterCall call(*stub);
        cr_assert(call.admit(makeAdmit("paused-" + std::to_string(i))).has_refusal(), "a paused agent granted a permit");
        std::this_thread::sleep_for(300ms);
    }
    cr_assert_eq(service.executions().total, 0);

    agent->faults().clock().resume();
    agent->faults().setDisconnectedFromPlatform(false);
    fleet.networkFaults.setPartition({});
    waitUntil("a permit after synchronisation", [&] {
        static int attempt = 0;
        RouterCall call(*stub);
        return call.admit(makeAdmit("resumed-" + std::to_string(++attempt))).has_permit();
    });
}
