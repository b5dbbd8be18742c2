#include "Scheduling/Queries/FindStartTag.h"

#include <algorithm>

namespace Lavenderloft::Scheduling::Queries {

double findStartTag(const SharesByUrgency& shares, int urgency, std::string_view organisation)
{
    auto& band = shares.at(urgency);
    auto known = band.nextTags.find(std::string(organisation));
    if (known == band.nextTags.end() && band.nextTags.size() >= FairShares::maximumOrganisations)
        known = band.nextTags.find(FairShares::sharedAccount);
    return known == band.nextTags.end() ? band.virtualTime : std::max(band.virtualTime, known->second);
}

} // namespace Lavenderloft::Scheduling::Queries
