#include "Scheduling/Commands/RecordWork.h"

#include <algorithm>

namespace Lavenderloft::Scheduling::Commands {

namespace {

    // An account up to the virtual time says nothing that a new one would not.
    void dropIdleAccounts(FairShares& band)
    {
        std::erase_if(band.nextTags, [&](auto& account) { return account.second <= band.virtualTime; });
    }

    double& accountOf(FairShares& band, std::string_view organisation)
    {
        std::string name(organisation);
        auto known = band.nextTags.find(name);
        if (known != band.nextTags.end())
            return known->second;
        if (band.nextTags.size() >= FairShares::maximumOrganisations)
            dropIdleAccounts(band);
        bool hasRoom = band.nextTags.size() < FairShares::maximumOrganisations;
        return band.nextTags[hasRoom ? name : FairShares::sharedAccount];
    }

} // namespace

void chargeArrival(SharesByUrgency& shares, const QueuedWork& request)
{
    auto& next = accountOf(shares.at(request.urgency), request.organisation);
    next = std::max(next, request.startTag) + request.work;
}

void recordService(SharesByUrgency& shares, const QueuedWork& request)
{
    auto& band = shares.at(request.urgency);
    band.virtualTime = std::max(band.virtualTime, request.startTag);
}

void refund(SharesByUrgency& shares, const QueuedWork& request)
{
    auto& next = accountOf(shares.at(request.urgency), request.organisation);
    next = std::max(0.0, next - request.work);
}

} // namespace Lavenderloft::Scheduling::Commands
