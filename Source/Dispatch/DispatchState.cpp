#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch {

DispatchState::DispatchState(const Fleet::FleetState& fleet, Fleet::NodeSettings settings, std::unique_ptr<PlacementPolicy> placement, std::unique_ptr<AdmissionPolicy> admission, std::unique_ptr<Base::RandomSource> random)
    : m_fleet(fleet)
    , m_settings(std::move(settings))
    , m_placement(std::move(placement))
    , m_admission(std::move(admission))
    , m_random(std::move(random))
{
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

size_t DispatchState::choose(const std::vector<Candidate>& candidates, const RequestTraits& traits)
{
    std::lock_guard guard(m_randomLock);
    return m_placement->choose(candidates, traits, *m_random);
}

} // namespace Lavenderloft::Dispatch
