#include "Admission/Queries/FindRefusal.h"

#include <algorithm>

namespace Lavenderloft::Admission::Queries {

namespace {

    std::optional<Refusal> findGeneralRefusal(const AdmissionContext& context)
    {
        if (context.isLeaving)
            return makeRefusal(RefusalReason::Leaving, "VM " + context.vm + " is stopping", "use another target");
        if (!context.isSynchronised || !context.document)
            return makeRefusal(RefusalReason::NotReady, "the agent on VM " + context.vm + " is not synchronised", "use another target or retry later");
        if (context.document->isDrained(context.vm))
            return makeRefusal(RefusalReason::Leaving, "VM " + context.vm + " is drained", "use another target");
        if (context.document->isDataCentreOut(context.dataCentre))
            return makeRefusal(RefusalReason::DataCentreOut, "data centre " + context.dataCentre + " is out of service", "use another data centre");
        return std::nullopt;
    }

    // An adapter removed from the document is refused at once, even if the engine has not unloaded it yet.
    std::optional<Refusal> findAdapterRefusal(const AdmissionContext& context, const AdmissionRequest& request)
    {
        if (request.adapter.empty())
            return std::nullopt;
        auto contains = [&](const std::vector<std::string>& adapters) { return std::find(adapters.begin(), adapters.end(), request.adapter) != adapters.end(); };
        auto* pool = context.document->findPool(request.pool);
        if (!pool || !contains(pool->adapters))
            return makeRefusal(RefusalReason::AdapterNotLoaded, "the document in force on VM " + context.vm + " does not list adapter " + request.adapter, "use another target or an adapter listed for the pool");
        if (!contains(context.servedAdapters))
            return makeRefusal(RefusalReason::AdapterNotLoaded, "the engine on VM " + context.vm + " has not loaded adapter " + request.adapter, "use a target that has loaded the adapter");
        return std::nullopt;
    }

    std::optional<Refusal> findModelRefusal(const AdmissionContext& context, const AdmissionRequest& request)
    {
        if (context.isSwitching)
            return makeRefusal(RefusalReason::NotReady, "the engine on VM " + context.vm + " is loading weights", "use another target");
        if (context.servedDigest.empty())
            return makeRefusal(RefusalReason::NotReady, "the engine on VM " + context.vm + " serves no weights", "use another target");
        if (context.servedPool != request.pool)
            return makeRefusal(RefusalReason::UnknownPool, "VM " + context.vm + " does not serve pool " + request.pool, "use a target of that pool");
        if (!request.weightsDigest.empty() && request.weightsDigest != context.servedDigest)
            return makeRefusal(RefusalReason::WrongDigest, "VM " + context.vm + " serves weights " + context.servedDigest, "use a target that serves " + request.weightsDigest);
        return findAdapterRefusal(context, request);
    }

    std::optional<Refusal> findServiceRefusal(const AdmissionContext& context, const AdmissionRequest& request)
    {
        auto* service = context.document->findService(request.pool);
        bool isListed = service && std::find(service->vms.begin(), service->vms.end(), context.vm) != service->vms.end();
        if (context.service != request.pool || !isListed)
            return makeRefusal(RefusalReason::UnknownPool, "VM " + context.vm + " does not serve " + request.pool, "use a VM listed for the service");
        return std::nullopt;
    }

} // namespace

std::optional<Refusal> findRefusal(const AdmissionContext& context, const AdmissionRequest& request)
{
    if (auto refusal = findGeneralRefusal(context))
        return refusal;
    if (context.kind == Settings::TargetKind::Model)
        return findModelRefusal(context, request);
    return findServiceRefusal(context, request);
}

bool isAccepting(const AdmissionContext& context)
{
    if (findGeneralRefusal(context))
        return false;
    return context.kind == Settings::TargetKind::Service || (!context.isSwitching && !context.servedDigest.empty());
}

} // namespace Lavenderloft::Admission::Queries
