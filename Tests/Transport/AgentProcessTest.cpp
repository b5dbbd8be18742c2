#include "Transport/AgentFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

std::string runToEnd(RouterCall& call, const std::string& attempt, const std::string& digest)
{
    auto permit = call.admit(AgentFixture::makeAdmit(attempt, digest));
    cr_assert(permit.has_permit(), "no permit: %s", permit.refusal().message().c_str());
    call.sendBody(permit.permit().permit_id(), "\"hi\"");
    return call.readResponse();
}

} // namespace

// Guards against an agent that does not load the desired weights into its engine, sends parts out of order or
// without an increasing fencing token, or does not serve afterwards.
Test(AgentProcess, loadsAnEmptyEngineAndServes)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    std::vector<std::string> expected { "manifest=manifest of v1", "0=v1-0", "1=v1-1", "2=v1-2" };
    cr_assert(fixture.engine->uploads() == expected);
    RouterCall call(*fixture.stub);
    cr_assert(runToEnd(call, "a", "v1") == "\"hi\"\n[DONE]\n");
    cr_assert(call.head.weights_digest() == "v1");
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_COMPLETE);
    RouterCall wrong(*fixture.stub);
    cr_assert_eq(wrong.admit(AgentFixture::makeAdmit("b", "v2")).refusal().reason(), protocol::REFUSAL_REASON_WRONG_DIGEST);
    cr_assert_eq(fixture.fetchStatus("/readyz"), 200);
    cr_assert_eq(fixture.fetchStatus("/metrics"), 200);
    cr_assert_eq(fixture.fetchStatus("/healthz"), 200);
    cr_assert_eq(fixture.fetchStatus("/other"), 404);
}

// Guards against an engine that restarts without notice and is left without weights.
Test(AgentProcess, reloadsAnEngineThatRestarts)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    fixture.engine->restart();
    fixture.control.waitFor([](const Membership::Member& self) { return !self.load.accepting; });
    fixture.waitUntilServing("v1");
    cr_assert_eq(fixture.engine->uploads().size(), 4);
}

// Guards against forwarding any byte of a response from weights other than those admitted.
Test(AgentProcess, abortsAResponseFromAnotherDigest)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    fixture.engine->respondWithDigest("v0");
    RouterCall call(*fixture.stub);
    cr_assert(runToEnd(call, "a", "v1").empty());
    cr_assert_eq(call.head.status(), 0);
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_WRONG_DIGEST);
}

// Guards against an adapter that is never loaded or makes the replica unavailable, against forwarding any byte of a
// response from another adapter, and against unloading an adapter during a request that uses it.
Test(AgentProcess, loadsAndUnloadsAnAdapterWhileItServes)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    auto document = AgentFixture::makeDocument("v1");
    document.pools[0].adapters = { "a1" };
    fixture.control.setDocument(document);
    fixture.waitUntilAdapters({ "a1" });
    std::vector<std::string> expected { "manifest=manifest of v1", "0=v1-0", "1=v1-1", "2=v1-2", "manifest=manifest of a1", "0=a1-0", "1=a1-1", "2=a1-2" };
    cr_assert(fixture.engine->uploads() == expected);
    auto makeAdmit = [](const std::string& attempt, const std::string& adapter) {
        auto admit = AgentFixture::makeAdmit(attempt, "v1");
        admit.set_adapter_digest(adapter);
        return admit;
    };
    RouterCall unknown(*fixture.stub);
    cr_assert_eq(unknown.admit(makeAdmit("a", "a2")).refusal().reason(), protocol::REFUSAL_REASON_ADAPTER_NOT_LOADED);
    fixture.engine->respondWithAdapter("a2");
    RouterCall other(*fixture.stub);
    other.sendBody(other.admit(makeAdmit("b", "a1")).permit().permit_id(), "\"hi\"");
    cr_assert(other.readResponse().empty());
    cr_assert_eq(other.end.end().status(), protocol::END_STATUS_WRONG_DIGEST);
    fixture.engine->respondWithAdapter("");
    fixture.waitUntilServing("v1");
    fixture.engine->hold(true);
    RouterCall call(*fixture.stub);
    call.sendBody(call.admit(makeAdmit("c", "a1")).permit().permit_id(), "\"hi\"");
    fixture.engine->waitForRequests(2);
    fixture.control.setDocument(AgentFixture::makeDocument("v1"));
    RouterCall late(*fixture.stub);
    cr_assert_eq(late.admit(makeAdmit("d", "a1")).refusal().reason(), protocol::REFUSAL_REASON_ADAPTER_NOT_LOADED);
    fixture.waitUntilAdapters({});
    cr_assert(fixture.engine->adapters() == std::set<std::string> { "a1" }, "the adapter was unloaded during a request that uses it");
    fixture.engine->hold(false);
    cr_assert(call.readResponse() == "\"hi\"\n[DONE]\n");
    cr_assert(call.head.adapter_digest() == "a1");
    fixture.isClockRunning = true;
    fixture.engine->waitForNoAdapter();
    cr_assert_eq(fixture.engine->uploads().size(), 8);
}

// Guards against running a body whose permit was granted before a response showed that the engine's weights changed.
Test(AgentProcess, rejectsABodyWhosePermitWasDropped)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    RouterCall late(*fixture.stub);
    auto permit = late.admit(AgentFixture::makeAdmit("late", "v1"));
    cr_assert(permit.has_permit());
    fixture.engine->respondWithDigest("v0");
    RouterCall call(*fixture.stub);
    runToEnd(call, "a", "v1");
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_WRONG_DIGEST);
    late.sendBody(permit.permit().permit_id(), "\"hi\"");
    late.readResponse();
    cr_assert_eq(late.end.refusal().reason(), protocol::REFUSAL_REASON_PERMIT_EXPIRED);
    cr_assert(late.end.refusal().retry_elsewhere());
    cr_assert_eq(fixture.engine->requests(), 1);
}

// Guards against a rollout that aborts a running request, and against two versions in one response.
Test(AgentProcess, switchesVersionsAfterRunningRequestsEnd)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    fixture.engine->hold(true);
    RouterCall call(*fixture.stub);
    auto permit = call.admit(AgentFixture::makeAdmit("a", "v1"));
    call.sendBody(permit.permit().permit_id(), "\"hi\"");
    fixture.engine->waitForRequests(1);
    fixture.control.setDocument(AgentFixture::makeDocument("v2"));
    fixture.isClockRunning = true;
    fixture.control.waitFor([](const Membership::Member& self) { return !self.load.accepting; });
    cr_assert_eq(fixture.engine->uploads().size(), 4);
    RouterCall refused(*fixture.stub);
    cr_assert_eq(refused.admit(AgentFixture::makeAdmit("b", "v1")).refusal().reason(), protocol::REFUSAL_REASON_NOT_READY);
    fixture.engine->hold(false);
    cr_assert(call.readResponse() == "\"hi\"\n[DONE]\n");
    cr_assert(call.head.weights_digest() == "v1");
    fixture.waitUntilServing("v2");
    cr_assert_eq(fixture.engine->uploads().size(), 8);
}

// Guards against a planned stop that aborts a request or admits a new one.
Test(AgentProcess, stopsAfterRunningRequestsEnd)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    fixture.engine->hold(true);
    RouterCall call(*fixture.stub);
    auto permit = call.admit(AgentFixture::makeAdmit("a", "v1"));
    call.sendBody(permit.permit().permit_id(), "\"hi\"");
    fixture.engine->waitForRequests(1);
    fixture.agent->requestStop();
    fixture.control.waitFor([](const Membership::Member& self) { return self.status == Membership::Status::Leaving; });
    RouterCall refused(*fixture.stub);
    cr_assert_eq(refused.admit(AgentFixture::makeAdmit("b", "v1")).refusal().reason(), protocol::REFUSAL_REASON_LEAVING);
    fixture.engine->hold(false);
    cr_assert(call.readResponse() == "\"hi\"\n[DONE]\n");
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_COMPLETE);
    fixture.thread.join();
}

// Guards against permits granted before the process has synchronised with a peer, and against a second process
// listening on the same port.
Test(AgentProcess, grantsNothingBeforeItIsSynchronised)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    fixture.control.setSynchronised(false);
    RouterCall call(*fixture.stub);
    cr_assert_eq(call.admit(AgentFixture::makeAdmit("a", "v1")).refusal().reason(), protocol::REFUSAL_REASON_NOT_READY);
    FakeControl control;
    Settings::ProcessSettings settings;
    settings.inner = "127.0.0.1:" + std::to_string(fixture.agent->innerPort());
    settings.plainTextOnLoopback = true;
    settings.admin = "127.0.0.1:0";
    settings.target = Settings::TargetSettings { Settings::TargetKind::Service, "127.0.0.1:1", "ledger" };
    auto second = Process::AgentBuilder().settings(settings).control(control).weights(fixture.weights).clock(fixture.clock).random(fixture.random).metrics(fixture.metrics).build();
    cr_assert_not(Base::succeeded(second));
    cr_assert(Base::errorOf(second).kind == Process::AgentErrorKind::Address);
    settings.target.reset();
    auto incomplete = Process::AgentBuilder().settings(settings).build();
    cr_assert(Base::errorOf(incomplete).kind == Process::AgentErrorKind::MissingDependency);
}

// Guards against a crash that is not recorded as evidence, and against reporting the response of a crashed engine as
// complete.
Test(AgentProcess, publishesTheRequestsThatRanWhenTheEngineCrashed)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    fixture.engine->hold(true);
    RouterCall call(*fixture.stub);
    auto admit = AgentFixture::makeAdmit("a", "v1");
    admit.set_fingerprint(42);
    auto permit = call.admit(admit);
    call.sendBody(permit.permit().permit_id(), "\"hi\"");
    fixture.engine->waitForRequests(1);
    fixture.engine->restart();
    cr_assert(call.readResponse().empty());
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_BROKEN);
    cr_assert(call.end.end().engine_crashed());
    cr_assert(fixture.crashObserver.waitForEvidence() == std::vector<uint64_t> { 42 });
}

// Guards against an agent of a plain service that exceeds the declared limit or still grants permits when its VM is
// drained.
Test(AgentProcess, servesAPlainService)
{
    auto target = std::make_shared<ScriptedTarget>();
    Http::HttpServer server({}, target);
    FakeControl control;
    DesiredState::Document document;
    document.services.push_back({ "ledger", { "vm-1" }, 1 });
    control.setDocument(document);
    FakeWeights weights;
    Base::ManualClock clock;
    Base::SeededRandom random(1);
    Observability::Metrics metrics;
    Settings::ProcessSettings settings;
    settings.vm = "vm-1";
    settings.inner = "127.0.0.1:0";
    settings.plainTextOnLoopback = true;
    settings.admin = "127.0.0.1:0";
    settings.target = Settings::TargetSettings { Settings::TargetKind::Service, "127.0.0.1:" + std::to_string(server.port()), "ledger" };
    auto built = Process::AgentBuilder().settings(settings).control(control).weights(weights).clock(clock).random(random).metrics(metrics).build();
    auto agent = Base::takeValue(std::move(built));
    std::thread thread([&] { agent->run(); });
    auto stub = protocol::TargetService::NewStub(grpc::CreateChannel("127.0.0.1:" + std::to_string(agent->innerPort()), grpc::InsecureChannelCredentials()));
    control.waitFor([](const Membership::Member& self) { return self.load.accepting && self.load.limit == 1; });
    {
        RouterCall first(*stub);
        auto permit = first.admit(RouterCall::makeAdmit("first", "", 5));
        cr_assert(permit.has_permit());
        cr_assert_eq(permit.load().running(), 1);
        RouterCall second(*stub);
        auto brief = RouterCall::makeAdmit("second", "", 5);
        brief.set_deadline_ms(300);
        std::thread waiting([&] { cr_assert_eq(second.admit(brief).refusal().reason(), protocol::REFUSAL_REASON_AT_LIMIT); });
        control.waitFor([](const Membership::Member& self) { return self.load.queued == 1; });
        clock.advance(300ms);
        waiting.join();
        first.sendBody(permit.permit().permit_id(), "hello");
        cr_assert(first.readResponse() == "hello");
    }
    document.drains.push_back("vm-1");
    control.setDocument(document);
    RouterCall drained(*stub);
    cr_assert_eq(drained.admit(RouterCall::makeAdmit("drained", "", 5)).refusal().reason(), protocol::REFUSAL_REASON_LEAVING);
    agent->requestStop();
    thread.join();
}

// Guards against forwarding an error of the engine as a response, and against sending further requests to an engine
// that has lost its weights without notice.
Test(AgentProcess, sendsNothingMoreToAnEngineThatLostItsWeights)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    fixture.engine->holdStatus(true);
    fixture.engine->restart();
    RouterCall first(*fixture.stub);
    cr_assert(runToEnd(first, "a", "v1").empty());
    cr_assert_eq(first.head.status(), 0);
    cr_assert_eq(first.end.end().status(), protocol::END_STATUS_NOT_RUN);
    RouterCall second(*fixture.stub);
    std::thread waiting([&] { cr_assert(second.admit(AgentFixture::makeAdmit("b", "v1")).has_refusal()); });
    fixture.engine->holdStatus(false);
    waiting.join();
}

// Guards against requests that the engine aborts because it accepts a load order late: the response was lost, the former
// version is wanted again, and the agent serves it.
Test(AgentProcess, servesNothingWhileALoadOrderMayStillArrive)
{
    AgentFixture fixture;
    fixture.waitUntilServing("v1");
    fixture.engine->delayNextLoad();
    fixture.control.setDocument(AgentFixture::makeDocument("v2"));
    fixture.isClockRunning = true;
    fixture.engine->waitForDelayedLoad();
    fixture.control.setDocument(AgentFixture::makeDocument("v1"));
    fixture.waitUntilServing("v1");
    cr_assert_not(fixture.engine->deliverDelayedLoad());
}
