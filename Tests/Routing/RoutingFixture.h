#pragma once

#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Routing/Commands/ExpireRequests.h"
#include "Routing/Commands/UpdateTargets.h"
#include "Routing/RequestCoordinator.h"
#include "Routing/TwoChoicesPolicy.h"

#include <map>
#include <optional>

namespace Lavenderloft::Routing {

// An attempt whose target is simulated by the test.
struct FakeAttempt final : Attempt {
    AdmissionRequest admission;
    std::string address;
    std::shared_ptr<AttemptEvents> events;
    std::function<void(FakeAttempt&)> onStart;
    std::function<void(FakeAttempt&)> onSend;
    bool sent = false;
    bool cancelled = false;

    void start() override
    {
        if (onStart)
            onStart(*this);
    }

    void send(const std::string&, const CallerRequest&) override
    {
        sent = true;
        if (onSend)
            onSend(*this);
    }

    void cancel() override { cancelled = true; }

    const std::string& id() const { return admission.attemptId; }
    void permit() { events->permitted({ "permit-" + id(), std::chrono::seconds(2), 1, 1 }); }
    void refuse(RefusalKind kind) { events->refused({ kind, "refused", true, {} }); }
    void head() { events->head({ id(), 200, {}, admission.weightsDigest, false, admission.resumeFromToken, admission.adapter }); }
    void data(std::string bytes)
    {
        events->data({ id(), std::move(bytes) }, [] {});
    }
    void end(uint64_t total) { events->ended({ id(), EndKind::Complete, total, "", false }); }

    void respond(const std::string& body)
    {
        head();
        data(body);
        end(body.size());
    }

    void crashEngine() { events->ended({ id(), EndKind::Broken, 0, "engine restarted", true }); }
    void breakOff() { events->closed("connection reset"); }
};

// Records all attempts. Callbacks simulate the targets; without them, the test drives each attempt itself.
struct FakeChannels final : TargetChannels {
    std::vector<std::shared_ptr<FakeAttempt>> attempts;
    std::function<void(FakeAttempt&)> onStart;
    std::function<void(FakeAttempt&)> onSend;
    std::function<Resolution(const std::string&)> onResolve = [](auto&) { return Resolution {}; };

    struct Channel final : TargetChannel {
        FakeChannels& owner;
        std::string address;

        Channel(FakeChannels& channels, std::string to)
            : owner(channels)
            , address(std::move(to))
        {
        }

        std::shared_ptr<Attempt> open(const AdmissionRequest& admission, std::shared_ptr<AttemptEvents> events) override
        {
            auto attempt = std::make_shared<FakeAttempt>();
            attempt->admission = admission;
            attempt->address = address;
            attempt->events = std::move(events);
            attempt->onStart = owner.onStart;
            attempt->onSend = owner.onSend;
            owner.attempts.push_back(attempt);
            return attempt;
        }

        void resolve(const std::string& attemptId, const Permit&, Base::Duration, std::function<void(Resolution)> done) override { done(owner.onResolve(attemptId)); }
    };

    std::shared_ptr<TargetChannel> channelTo(const std::string& address) override { return std::make_shared<Channel>(*this, address); }
    void retain(const std::set<std::string>&) override { }
    FakeAttempt& last() { return *attempts.back(); }
};

// Records the response as seen by the caller. If `reads` is false, `written` is not called.
struct FakeCaller final : ResponseWriter {
    std::optional<RoutingError> error;
    std::string body;
    bool started = false;
    unsigned heads = 0;
    bool completed = false;
    bool aborted = false;
    bool reads = true;
    std::function<void(bool)> pending;

    void reject(const std::string&, const RoutingError& rejection) override { error = rejection; }
    void head(const std::string&, const ResponseHead&) override
    {
        started = true;
        ++heads;
    }

    void data(std::string bytes, std::function<void(bool)> written) override
    {
        body += bytes;
        if (reads)
            written(true);
        else
            pending = std::move(written);
    }

    void complete() override { completed = true; }

    void abort() override
    {
        aborted = true;
        // Break the reference cycle: the callback holds the request, which holds this caller.
        pending = nullptr;
    }

    bool hasEnded() const { return error || completed || aborted; }
};

// A router's state with a manual clock and fake channels. Data centre dc-1 has targets t1 to tN of the pool, and s1 to
// sN of the plain service.
class RoutingFixture {
public:
    static constexpr auto digest = "d1";

    explicit RoutingFixture(unsigned targetCount = 3, uint64_t budgetBytes = 64 * 1024 * 1024, uint64_t seed = 11)
        : random(seed)
        , byteBudget(budgetBytes)
        , requestBudget(budgetBytes)
        , context(new RoutingContext { clock, random, metrics, policy, channels, targets, retryBudget, quarantine, running, byteBudget, requestBudget })
    {
        document.revision = 1;
        document.dataCentres = { { "dc-1", "r-1", {} }, { "dc-2", "r-1", {} }, { "dc-3", "r-2", {} } };
        document.pools.resize(1);
        document.pools[0].name = "pool";
        document.pools[0].manifest = digest;
        document.services.resize(1);
        document.services[0].name = "ledger";
        for (unsigned i = 1; i <= targetCount; ++i) {
            members.push_back(makeMember("t" + std::to_string(i), "dc-1", "r-1", "pool", digest));
            document.services[0].vms.push_back("s" + std::to_string(i));
            members.push_back(makeMember("s" + std::to_string(i), "dc-1", "r-1", "ledger", ""));
        }
        update();
    }

    ~RoutingFixture() { Commands::abandonRequests(running); }

    static Membership::Member makeMember(std::string vm, std::string dataCentre, std::string region, std::string pool, std::string serving)
    {
        Membership::Member member;
        member.vm = vm;
        member.address = vm;
        member.dataCentre = std::move(dataCentre);
        member.region = std::move(region);
        member.role = Membership::Role::Agent;
        member.load.limit = 16;
        member.load.accepting = true;
        member.replicas.resize(1);
        member.replicas[0].pool = std::move(pool);
        member.replicas[0].servingDigest = std::move(serving);
        return member;
    }

    void update()
    {
        auto self = makeMember("router-1", "dc-1", "r-1", "", "");
        Commands::updateTargets(targets, document, members, self);
    }

    LiveRequest poolRequest(std::string body = "body")
    {
        LiveRequest request;
        request.id = random.nextIdentifier();
        request.organisation = "school-1";
        request.deadline = clock.now() + std::chrono::seconds(30);
        request.destination = "pool";
        request.repeatable = true;
        request.fingerprint = std::hash<std::string> {}(body);
        request.message.body = std::move(body);
        return request;
    }

    LiveRequest booking(std::string key)
    {
        auto request = poolRequest("booking " + key);
        request.kind = DesiredState::RouteKind::ToService;
        request.destination = "ledger";
        request.repeatable = false;
        request.key = std::move(key);
        request.keyFromCaller = true;
        request.keyHomes = document.services[0].vms;
        return request;
    }

    std::shared_ptr<FakeCaller> start(LiveRequest request, bool reads = true)
    {
        auto caller = std::make_shared<FakeCaller>();
        caller->reads = reads;
        std::make_shared<RequestCoordinator>(context, std::move(request), caller)->start();
        return caller;
    }

    void advance(Base::Duration duration)
    {
        clock.advance(duration);
        Commands::expireRequests(running, clock.now());
    }

    Base::ManualClock clock;
    Base::SeededRandom random;
    Observability::Metrics metrics;
    TwoChoicesPolicy policy;
    FakeChannels channels;
    TargetTable targets;
    RetryBudget retryBudget;
    QuarantineTable quarantine;
    RunningRequests running;
    Streaming::ByteBudget byteBudget;
    Streaming::ByteBudget requestBudget;
    DesiredState::Document document;
    std::vector<Membership::Member> members;
    std::shared_ptr<RoutingContext> context;
};

} // namespace Lavenderloft::Routing
