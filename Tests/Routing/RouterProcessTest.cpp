#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Bench/FakeAgent.h"
#include "Bench/FakeControl.h"
#include "Http/HttpClient.h"
#include "Process/RouterBuilder.h"
#include "Routing/FreezingProxy.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace Lavenderloft;
using namespace std::chrono_literals;

namespace {

const std::string digest(64, 'a');

// A router on free ports, with one agent of a model pool and one of a plain service.
class Fleet {
public:
    explicit Fleet(Bench::FakeAgentOptions options = {})
        : model(withDigest(options))
        , modelProxy(model.address())
        , service(options)
        , control(self())
    {
        DesiredState::Document document;
        document.revision = 1;
        document.dataCentres = { { "dc-1", "r-1", DesiredState::DataCentreState::In } };
        document.pools.resize(1);
        document.pools[0].name = "assistant";
        document.pools[0].manifest = digest;
        document.services.resize(1);
        document.services[0].name = "ledger";
        document.services[0].vms = { "ledger-1" };
        document.routes = { { "/assistant", DesiredState::RouteKind::ToPool, "assistant", true, {} },
            { "/bookings", DesiredState::RouteKind::ToService, "ledger", false, {} } };
        control.setDocument(document);
        control.setMembers({ agent("mak-t1", "assistant", digest, model.load(), modelProxy.address()), agent("ledger-1", "ledger", "", service.load(), service.address()) });
        Settings::ProcessSettings settings;
        settings.vm = "router-1";
        settings.callers = "127.0.0.1:0";
        settings.plainTextOnLoopback = true;
        settings.admin = "127.0.0.1:0";
        router = Process::RouterBuilder(settings, control, clock, metrics).random(std::make_shared<Base::SeededRandom>(7)).build();
    }

    Base::Result<Http::HttpResponse, Http::HttpError> post(std::string path, std::string body, Http::HttpHeaders headers = {})
    {
        Http::HttpRequest request { "POST", std::move(path), std::move(headers), std::move(body) };
        return client.fetch({ "127.0.0.1", router->callersPort() }, request, 20s);
    }

    std::string admin(std::string path)
    {
        auto response = client.fetch({ "127.0.0.1", router->adminPort() }, { "GET", std::move(path), {}, {} }, 20s);
        return Base::succeeded(response) ? Base::valueOf(response).body : "";
    }

    Bench::FakeAgent model;
    FreezingProxy modelProxy;
    Bench::FakeAgent service;
    Bench::FakeControl control;
    Base::SystemClock clock;
    Observability::Metrics metrics;
    Http::HttpClient client { 2 };
    std::unique_ptr<Process::RouterProcess> router;

private:
    static Bench::FakeAgentOptions withDigest(Bench::FakeAgentOptions options)
    {
        options.weightsDigest = digest;
        return options;
    }

    static Membership::Member self()
    {
        Membership::Member member;
        member.vm = "router-1";
        member.dataCentre = "dc-1";
        member.region = "r-1";
        return member;
    }

    static Membership::Member agent(std::string vm, std::string pool, std::string serving, const Membership::TargetLoad& load, std::string address)
    {
        Membership::Member member = self();
        member.vm = std::move(vm);
        member.address = std::move(address);
        member.role = Membership::Role::Agent;
        member.load = load;
        member.replicas.resize(1);
        member.replicas[0].pool = std::move(pool);
        member.replicas[0].servingDigest = std::move(serving);
        return member;
    }
};

} // namespace

// Guards against losing bytes or headers between caller and target.
Test(RouterProcess, forwardsARequestFromEndToEnd)
{
    Bench::FakeAgentOptions options;
    options.parts = 10;
    options.partBytes = 1000;
    Fleet fleet(options);
    auto response = fleet.post("/assistant", "hello");
    cr_assert(Base::succeeded(response));
    cr_assert_eq(Base::valueOf(response).status, 200);
    cr_assert_eq(Base::valueOf(response).body.size(), 10000);
    cr_assert(Http::headerValue(Base::valueOf(response).headers, "X-Weights-Digest") == digest);
    cr_assert_not(Http::headerValue(Base::valueOf(response).headers, "X-Request-Id").empty());
    cr_assert(fleet.admin("/readyz") == "ready\n");
    cr_assert(fleet.admin("/metrics").find("lavenderloft_requests_total") != std::string::npos);
}

// Guards against errors without a stable code and outcome.
Test(RouterProcess, returnsErrorsAsTypedJson)
{
    Fleet fleet;
    auto missing = fleet.post("/nowhere", "x");
    cr_assert_eq(Base::valueOf(missing).status, 404);
    cr_assert(Base::valueOf(missing).body.find("\"code\":\"no_route\"") != std::string::npos);
    auto malformed = fleet.post("/assistant", "x", { { "X-Deadline-Ms", "soon" } });
    cr_assert_eq(Base::valueOf(malformed).status, 400);
    cr_assert(Base::valueOf(malformed).body.find("\"outcome\":\"not_run\"") != std::string::npos);
}

// Guards against repeating a non-repeatable call, or reporting it as not run, after its stream broke.
Test(RouterProcess, reportsAnUnknownOutcomeOverTheWire)
{
    Fleet fleet;
    fleet.service.abortNextStreams(1);
    auto broken = fleet.post("/bookings", "violin", { { "X-Sequence", "1" } });
    cr_assert_eq(Base::valueOf(broken).status, 502);
    cr_assert(Base::valueOf(broken).body.find("\"outcome\":\"unknown\"") != std::string::npos);
    cr_assert_eq(fleet.service.counts().runs, 1);
}

// Guards against losing a repeatable call whose stream breaks.
Test(RouterProcess, repeatsABrokenCallThatMayBeRepeated)
{
    Fleet fleet;
    fleet.model.abortNextStreams(1);
    auto response = fleet.post("/assistant", "hello");
    cr_assert(Base::succeeded(response));
    cr_assert_eq(Base::valueOf(response).status, 200);
    cr_assert_eq(fleet.model.counts().runs, 2);
}

// Guards against a planned stop that interrupts running requests.
Test(RouterProcess, finishesRunningRequestsOnDrain)
{
    Bench::FakeAgentOptions options;
    options.serviceTime = 300ms;
    Fleet fleet(options);
    auto running = std::async(std::launch::async, [&] { return fleet.post("/assistant", "slow"); });
    while (!fleet.router->runningRequests())
        std::this_thread::sleep_for(1ms);
    cr_assert(fleet.router->drain(20s));
    cr_assert(fleet.control.isLeaving());
    auto response = running.get();
    cr_assert(Base::succeeded(response));
    cr_assert_eq(Base::valueOf(response).status, 200);
}

// Guards against connections that are closed without a response at the end of a drain, so that callers don't know whether
// their requests have run.
Test(RouterProcess, answersOpenRequestsAtTheDrainLimit)
{
    Bench::FakeAgentOptions options;
    options.serviceTime = 10s;
    Fleet fleet(options);
    auto running = std::async(std::launch::async, [&] { return fleet.post("/assistant", "slow"); });
    while (!fleet.model.counts().runs)
        std::this_thread::sleep_for(1ms);
    cr_assert_not(fleet.router->drain(100ms));
    fleet.router.reset();
    auto response = running.get();
    cr_assert(Base::succeeded(response));
    cr_assert_eq(Base::valueOf(response).status, 502);
    cr_assert(Base::valueOf(response).body.find("\"outcome\":\"unknown\"") != std::string::npos);
}

// Guards against sending chunks in a response to HEAD, which a caller would read as the next response.
Test(RouterProcess, sendsNoBodyInResponseToHead)
{
    Fleet fleet;
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket caller(context);
    caller.connect({ boost::asio::ip::make_address("127.0.0.1"), fleet.router->callersPort() });
    boost::asio::write(caller, boost::asio::buffer(std::string("HEAD /assistant HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
    std::string response;
    boost::system::error_code error;
    boost::asio::read(caller, boost::asio::dynamic_buffer(response), error);
    cr_assert(response.starts_with("HTTP/1.1 200"));
    cr_assert(response.ends_with("\r\n\r\n"));
    cr_assert(response.find("Transfer-Encoding") == std::string::npos);
}

// Guards against requests that hang until their deadline because one connection no longer responds while new
// connections work.
Test(RouterProcess, replacesASilentConnection)
{
    Fleet fleet;
    cr_assert_eq(Base::valueOf(fleet.post("/assistant", "before")).status, 200);
    fleet.modelProxy.freeze();
    auto response = fleet.post("/assistant", "after", { { "X-Deadline-Ms", "15000" } });
    cr_assert(Base::succeeded(response));
    cr_assert_eq(Base::valueOf(response).status, 200);
}

// Guards against malformed and slow senders that block other callers.
Test(RouterProcess, servesOthersBesideMalformedAndSlowSenders)
{
    Fleet fleet;
    boost::asio::io_context context;
    boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), fleet.router->callersPort());
    std::vector<boost::asio::ip::tcp::socket> senders;
    for (int i = 0; i < 100; ++i) {
        auto& sender = senders.emplace_back(context);
        sender.connect(endpoint);
        std::string bytes = i % 2 ? "POST /assistant HTTP/1.1\r\nContent-Le" : "\x16\x03\x01 not HTTP\r\n\r\n";
        boost::asio::write(sender, boost::asio::buffer(bytes));
    }
    for (int i = 0; i < 20; ++i) {
        auto response = fleet.post("/assistant", "hello");
        cr_assert(Base::succeeded(response));
        cr_assert_eq(Base::valueOf(response).status, 200);
    }
}
