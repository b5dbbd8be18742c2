#include "Staging/LoadLifeCycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Lavenderloft::Staging {

namespace {

    namespace mpl = boost::mpl;
    namespace msm = boost::msm;
    using msm::front::none;
    using msm::front::Row;

    struct RequestSent { };
    struct RequestAccepted { };
    struct RequestSettled { };

    template <LoadPhase enteredPhase>
    struct PhaseState : msm::front::state<> {
        template <typename Event, typename Machine>
        void on_entry(const Event&, Machine& machine)
        {
            machine.phase = enteredPhase;
        }
    };

    struct Definition : msm::front::state_machine_def<Definition> {
        using Settled = PhaseState<LoadPhase::Settled>;
        using Requested = PhaseState<LoadPhase::Requested>;
        using Unverified = PhaseState<LoadPhase::Unverified>;
        using initial_state = Settled;

        struct transition_table : mpl::vector<
                                      Row<Settled, RequestSent, Requested, none, none>,
                                      Row<Requested, RequestAccepted, Unverified, none, none>,
                                      Row<Requested, RequestSettled, Settled, none, none>,
                                      Row<Unverified, RequestSettled, Settled, none, none>> { };

        template <typename Machine, typename Event>
        void no_transition(const Event&, Machine&, int)
        {
        }

        LoadPhase phase = LoadPhase::Settled;
    };

} // namespace

struct LoadLifeCycle::Machine : msm::back::state_machine<Definition> { };

LoadLifeCycle::LoadLifeCycle()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

LoadLifeCycle::~LoadLifeCycle() = default;
LoadLifeCycle::LoadLifeCycle(LoadLifeCycle&&) noexcept = default;
LoadLifeCycle& LoadLifeCycle::operator=(LoadLifeCycle&&) noexcept = default;

LoadPhase LoadLifeCycle::phase() const
{
    return m_machine->phase;
}

bool LoadLifeCycle::request()
{
    return m_machine->process_event(RequestSent {}) == msm::back::HANDLED_TRUE;
}

bool LoadLifeCycle::accept()
{
    return m_machine->process_event(RequestAccepted {}) == msm::back::HANDLED_TRUE;
}

bool LoadLifeCycle::settle()
{
    return m_machine->process_event(RequestSettled {}) == msm::back::HANDLED_TRUE;
}

} // namespace Lavenderloft::Staging
