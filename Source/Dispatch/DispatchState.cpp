#include "Dispatch/DispatchState.h"

#include "Dispatch/FewRoutersPolicy.h"
#include "Dispatch/PredictedFinishPolicy.h"
#include "Scheduling/FairOrder.h"
#include "Scheduling/TokenWorkEstimator.h"

namespace Lavenderloft::Dispatch {

DispatchState::DispatchState(const Fleet::FleetState& fleet, Fleet::NodeSettings settings, std::unique_ptr<PlacementPolicy> placement, std::unique_ptr<AdmissionPolicy> admission, std::unique_ptr<Base::RandomSource> random)
    : m_fleet(fleet)
    , m_settings(std::move(settings))
    , m_retryWindow(m_settings.bounds.retryWindow)
    , m_placement(std::move(placement))
    , m_predictedPlacement(std::make_unique<PredictedFinishPolicy>())
    , m_admission(std::move(admission))
    , m_queueOrder(std::make_unique<Scheduling::FairOrder>())
    , m_workEstimator(std::make_unique<Scheduling::TokenWorkEstimator>())
    , m_random(std::move(random))
    , m_limitShares(std::make_unique<FewRoutersPolicy>())
{
    setRouters({ { m_settings.address, m_settings.dataCentre, m_settings.region } });
}

Fleet::FleetBounds DispatchState::bounds() const
{
    std::lock_guard guard(m_boundsLock);
    return m_settings.bounds;
}

void DispatchState::setBounds(const Fleet::FleetBounds& bounds)
{
    std::lock_guard guard(m_boundsLock);
    m_settings.bounds = bounds;
}

void DispatchState::setRouters(std::vector<RouterPlace> routers)
{
    std::lock_guard guard(m_routersLock);
    if (m_routers && *m_routers == routers)
        return;
    m_routers = std::make_shared<const std::vector<RouterPlace>>(std::move(routers));
    ++m_routersVersion;
}

double DispatchState::limitShare(const Fleet::TargetEntry& target, double requestsPerSecond) const
{
    std::shared_ptr<const std::vector<RouterPlace>> routers;
    {
        std::lock_guard guard(m_routersLock);
        routers = m_routers;
    }
    return m_limitShares->share(target, requestsPerSecond, m_settings.address, *routers, m_settings.regionOf(target.dataCentre));
}

Placement DispatchState::choose(const std::vector<Candidate>& candidates, const PlacementContext& context)
{
    std::lock_guard guard(m_randomLock);
    auto& policy = context.model ? m_predictedPlacement : m_placement;
    return policy->choose(candidates, context, *m_random);
}

} // namespace Lavenderloft::Dispatch
