#include "EndToEnd/TestFleet.h"
#include "Transport/TargetFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// A paused process finds a gap of more than two seconds between two ticks.
constexpr auto pauseTime = 3s;

protocol::Admit makeAdmit(const std::string& attempt)
{
    return RouterCall::makeAdmit(attempt, "", 4);
}

} // namespace

// Guards against an agent that, paused and resumed, acts on what it knew before: it must refuse new work and permits
// granted before the pause until a peer has answered.
Test(Pause, agentGrantsNothingUntilItHasSynchronised)
{
    TestFleet fleet;
    fleet.declareService({ "ledger-1" });
    fleet.publish();
    Standin::PlainService service({});
    auto router = fleet.startRouter("router-1", "dc-1");
    auto agent = fleet.startServiceAgent("ledger-1", "dc-1", service);
    auto stub = protocol::TargetService::NewStub(grpc::CreateChannel(agent->switches().address(), grpc::InsecureChannelCredentials()));
    waitUntil("an agent that grants", [&] { return agent->control().self().load.accepting; });
    RouterCall early(*stub);
    auto permit = early.admit(makeAdmit("early"));
    cr_assert(permit.has_permit());

    // Nobody answers the resumed agent, and its clock stands still, so that it does not go on alone.
    fleet.faults.setPartition({ agent->switches().address() });
    agent->switches().cutOffFromPlatform(true);
    agent->switches().clock().jumpAndStop(pauseTime);
    early.sendBody(permit.permit().permit_id(), "late");
    early.readResponse();
    cr_assert(!early.end.has_end() || early.end.end().status() != protocol::END_STATUS_COMPLETE);
    for (int i = 0; i < 5; ++i) {
        RouterCall call(*stub);
        cr_assert(call.admit(makeAdmit("paused-" + std::to_string(i))).has_refusal(), "a paused agent granted a permit");
        std::this_thread::sleep_for(300ms);
    }
    cr_assert_eq(service.executions().total, 0);

    agent->switches().clock().resume();
    agent->switches().cutOffFromPlatform(false);
    fleet.faults.setPartition({});
    waitUntil("a permit after the agent has synchronised", [&] {
        static int attempt = 0;
        RouterCall call(*stub);
        return call.admit(makeAdmit("resumed-" + std::to_string(++attempt))).has_permit();
    });
}
