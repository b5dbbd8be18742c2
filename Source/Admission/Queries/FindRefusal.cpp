#include "Admission/Queries/FindRefusal.h"

#include <algorithm>

namespace Lavenderloft::Admission::Queries {

namespace {

    std::optional<Refusal> findGeneralRefusal(const Situation& situation)
    {
        if (situation.isLeaving)
            return makeRefusal(RefusalReason::Leaving, "VM " + situation.vm + " is stopping", "use another target");
        if (!situation.isSynchronised || !situation.document)
            return makeRefusal(RefusalReason::NotReady, "the agent on VM " + situation.vm + " has not synchronised yet", "use another target or retry later");
        if (situation.document->isDrained(situation.vm))
            return makeRefusal(RefusalReason::Leaving, "VM " + situation.vm + " is drained", "use another target");
        if (situation.document->isDataCentreOut(situation.dataCentre))
            return makeRefusal(RefusalReason::DataCentreOut, "data centre " + situation.dataCentre + " is out", "use another data centre");
        return std::nullopt;
    }

    // A document that no longer lists the adapter counts at once, before the engine has unloaded it.
    std::optional<Refusal> findAdapterRefusal(const Situation& situation, const AdmissionRequest& request)
    {
        if (request.adapter.empty())
            return std::nullopt;
        auto contains = [&](const std::vector<std::string>& adapters) { return std::find(adapters.begin(), adapters.end(), request.adapter) != adapters.end(); };
        auto* pool = situation.document->findPool(request.pool);
        if (!pool || !contains(pool->adapters))
            return makeRefusal(RefusalReason::AdapterNotLoaded, "the document in force on VM " + situation.vm + " lists no adapter " + request.adapter, "use another target or an adapter that the pool lists");
        if (!contains(situation.servedAdapters))
            return makeRefusal(RefusalReason::AdapterNotLoaded, "the engine on VM " + situation.vm + " has not loaded adapter " + request.adapter, "use a target that reports the adapter");
        return std::nullopt;
    }

    std::optional<Refusal> findModelRefusal(const Situation& situation, const AdmissionRequest& request)
    {
        if (situation.isSwitching)
            return makeRefusal(RefusalReason::NotReady, "the engine on VM " + situation.vm + " is loading weights", "use another target");
        if (situation.servedDigest.empty())
            return makeRefusal(RefusalReason::NotReady, "the engine on VM " + situation.vm + " serves no weights", "use another target");
        if (situation.servedPool != request.pool)
            return makeRefusal(RefusalReason::UnknownPool, "VM " + situation.vm + " does not serve pool " + request.pool, "use a target of that pool");
        if (!request.weightsDigest.empty() && request.weightsDigest != situation.servedDigest)
            return makeRefusal(RefusalReason::WrongDigest, "VM " + situation.vm + " serves weights " + situation.servedDigest, "use a target that serves " + request.weightsDigest);
        return findAdapterRefusal(situation, request);
    }

    std::optional<Refusal> findServiceRefusal(const Situation& situation, const AdmissionRequest& request)
    {
        auto* service = situation.document->findService(request.pool);
        bool isListed = service && std::find(service->vms.begin(), service->vms.end(), situation.vm) != service->vms.end();
        if (situation.service != request.pool || !isListed)
            return makeRefusal(RefusalReason::UnknownPool, "VM " + situation.vm + " does not serve " + request.pool, "use a VM that the service lists");
        return std::nullopt;
    }

} // namespace

std::optional<Refusal> findRefusal(const Situation& situation, const AdmissionRequest& request)
{
    if (auto refusal = findGeneralRefusal(situation))
        return refusal;
    if (situation.kind == Settings::TargetKind::Model)
        return findModelRefusal(situation, request);
    return findServiceRefusal(situation, request);
}

bool isAccepting(const Situation& situation)
{
    if (findGeneralRefusal(situation))
        return false;
    return situation.kind == Settings::TargetKind::Service || (!situation.isSwitching && !situation.servedDigest.empty());
}

} // namespace Lavenderloft::Admission::Queries
