#pragma once

#include "Admission/Commands/AdjustLimit.h"
#include "Admission/Commands/AdmitRequest.h"
#include "Admission/Commands/RunRequest.h"
#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Testing {

// Records the result of a queued request.
class RecordingWaiter final : public Admission::Waiter {
public:
    RecordingWaiter(std::string name, std::vector<std::string>& grants)
        : m_name(std::move(name))
        , m_grants(grants)
    {
    }

    void granted(const Admission::Permit& granted) override
    {
        permit = granted;
        m_grants.push_back(m_name);
    }

    void refused(const Admission::Refusal& refused) override { refusal = refused; }

    std::optional<Admission::Permit> permit;
    std::optional<Admission::Refusal> refusal;

private:
    std::string m_name;
    std::vector<std::string>& m_grants;
};

// Admission state of the agent of the plain service "ledger" or of an engine of the pool "assistant".
struct AdmissionFixture {
    AdmissionFixture()
    {
        auto desired = std::make_shared<DesiredState::Document>();
        desired->dataCentres.push_back({ "dc-1", "region", DesiredState::DataCentreState::In });
        desired->services.push_back({ "ledger", { "vm-1" } });
        desired->organisations.push_back({ "large", 3 });
        desired->organisations.push_back({ "small", 1 });
        document = desired;
        context.document = desired;
        context.vm = "vm-1";
        context.dataCentre = "dc-1";
        context.kind = Settings::TargetKind::Service;
        context.service = "ledger";
        context.servedPool = "assistant";
        context.servedDigest = "digest-1";
        context.isSynchronised = true;
        Admission::Commands::configureLimit(state.limit, { 2, 2, std::chrono::milliseconds(1000) });
        Admission::Commands::applyEngineCondition(state, { true, 0, {}, true, true }, clock);
        state.permits.occupancy.setByteLimit(1000);
    }

    void useModelEngine() { context.kind = Settings::TargetKind::Model; }

    Admission::AdmissionRequest makeRequest(const std::string& attemptId, const std::string& key = {})
    {
        Admission::AdmissionRequest request;
        request.attemptId = attemptId;
        request.organisation = "small";
        request.pool = context.kind == Settings::TargetKind::Model ? "assistant" : "ledger";
        request.idempotencyKey = key;
        request.repeatable = key.empty();
        request.bodyBytes = 10;
        request.fingerprint = 7;
        return request;
    }

    Admission::Commands::AdmissionResult admit(const Admission::AdmissionRequest& request, std::shared_ptr<Admission::Waiter> waiter = nullptr)
    {
        if (!waiter)
            waiter = std::make_shared<RecordingWaiter>(request.attemptId, grants);
        return Admission::Commands::admitRequest(state, context, request, std::move(waiter), clock, random);
    }

    // Reason of the refusal, or Unspecified if the request was not refused.
    static Admission::RefusalReason reasonOf(const Admission::Commands::AdmissionResult& result)
    {
        auto* refusal = std::get_if<Admission::Refusal>(&result);
        return refusal ? refusal->kind : Admission::RefusalReason::Unspecified;
    }

    // Admits and starts a request. Returns false if no permit is granted at once.
    bool run(const Admission::AdmissionRequest& request)
    {
        auto result = admit(request);
        auto* permit = std::get_if<Admission::Permit>(&result);
        return permit && Base::succeeded(Admission::Commands::startRequest(state, request, permit->id, clock));
    }

    void finish(const Admission::AdmissionRequest& request, Admission::AttemptState outcome = Admission::AttemptState::Complete, Admission::Commands::StoredResponsePointer response = nullptr)
    {
        Admission::Commands::finishRequest(state, request, { outcome, true, std::move(response) }, clock);
    }

    Base::ManualClock clock;
    Base::SeededRandom random { 1 };
    Admission::TargetState state { 1, clock };
    Admission::AdmissionContext context;
    std::shared_ptr<DesiredState::Document> document;
    std::vector<std::string> grants;
};

} // namespace Lavenderloft::Testing
