// The transition table is longer than the 20 rows that Boost.MPL allows by default.
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "Placement/ReplicaState.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Lavenderloft::Placement {

namespace {

    namespace msm = boost::msm;
    using msm::front::none;
    using msm::front::Row;

    struct WantedEvent { };
    struct ReleasedEvent { };
    struct FetchedEvent { };
    struct ClaimedEvent { };
    struct WithdrawnEvent { };
    struct ConfirmedEvent { };
    struct DriftedEvent { };
    struct FailedEvent { };
    struct RetriedEvent { };

    struct MachineDefinition : msm::front::state_machine_def<MachineDefinition> {
        struct Idle : msm::front::state<> { };
        struct Fetching : msm::front::state<> { };
        struct Waiting : msm::front::state<> { };
        struct Loading : msm::front::state<> { };
        struct Ready : msm::front::state<> { };
        struct Failed : msm::front::state<> { };

        using initial_state = Idle;

        // Boost.MSM requires this name.
        struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)

                                      Row<Idle, WantedEvent, Fetching, none, none>,
                                      Row<Fetching, WantedEvent, Fetching, none, none>,
                                      Row<Fetching, ReleasedEvent, Idle, none, none>,
                                      Row<Fetching, FetchedEvent, Waiting, none, none>,
                                      Row<Fetching, ConfirmedEvent, Ready, none, none>,
                                      Row<Fetching, FailedEvent, Failed, none, none>,
                                      Row<Waiting, WantedEvent, Fetching, none, none>,
                                      Row<Waiting, ReleasedEvent, Idle, none, none>,
                                      Row<Waiting, ClaimedEvent, Loading, none, none>,
                                      Row<Waiting, ConfirmedEvent, Ready, none, none>,
                                      Row<Waiting, DriftedEvent, Fetching, none, none>,
                                      Row<Loading, WantedEvent, Fetching, none, none>,
                                      Row<Loading, ReleasedEvent, Idle, none, none>,
                                      Row<Loading, WithdrawnEvent, Waiting, none, none>,
                                      Row<Loading, ConfirmedEvent, Ready, none, none>,
                                      Row<Loading, DriftedEvent, Fetching, none, none>,
                                      Row<Loading, FailedEvent, Failed, none, none>,
                                      Row<Ready, WantedEvent, Fetching, none, none>,
                                      Row<Ready, ReleasedEvent, Idle, none, none>,
                                      Row<Ready, DriftedEvent, Fetching, none, none>,
                                      Row<Failed, WantedEvent, Fetching, none, none>,
                                      Row<Failed, ReleasedEvent, Idle, none, none>,
                                      Row<Failed, RetriedEvent, Fetching, none, none>> { };

        template <typename Machine, typename Event>
        void no_transition(const Event&, Machine&, int)
        {
        }
    };

} // namespace

struct ReplicaState::Machine {
    using BackEnd = msm::back::state_machine<MachineDefinition>;

    Machine() { backEnd.start(); }

    template <typename Event>
    bool process(const Event& event)
    {
        return backEnd.process_event(event) == msm::back::HANDLED_TRUE;
    }

    template <typename State>
    bool isIn() const
    {
        return backEnd.current_state()[0] == msm::back::get_state_id<BackEnd::stt, State>::value;
    }

    BackEnd backEnd;
};

ReplicaState::ReplicaState()
    : m_machine(std::make_unique<Machine>())
{
}

ReplicaState::~ReplicaState() = default;
ReplicaState::ReplicaState(ReplicaState&&) noexcept = default;
ReplicaState& ReplicaState::operator=(ReplicaState&&) noexcept = default;

Membership::ReplicaPhase ReplicaState::phase() const
{
    using Membership::ReplicaPhase;
    if (m_machine->isIn<MachineDefinition::Fetching>())
        return ReplicaPhase::Fetching;
    if (m_machine->isIn<MachineDefinition::Waiting>())
        return ReplicaPhase::Waiting;
    if (m_machine->isIn<MachineDefinition::Loading>())
        return ReplicaPhase::Loading;
    if (m_machine->isIn<MachineDefinition::Ready>())
        return ReplicaPhase::Ready;
    if (m_machine->isIn<MachineDefinition::Failed>())
        return ReplicaPhase::Failed;
    return ReplicaPhase::Idle;
}

bool ReplicaState::apply(ReplicaEvent event)
{
    switch (event) {
    case ReplicaEvent::Wanted:
        return m_machine->process(WantedEvent {});
    case ReplicaEvent::Released:
        return m_machine->process(ReleasedEvent {});
    case ReplicaEvent::Fetched:
        return m_machine->process(FetchedEvent {});
    case ReplicaEvent::Claimed:
        return m_machine->process(ClaimedEvent {});
    case ReplicaEvent::Withdrawn:
        return m_machine->process(WithdrawnEvent {});
    case ReplicaEvent::Confirmed:
        return m_machine->process(ConfirmedEvent {});
    case ReplicaEvent::Drifted:
        return m_machine->process(DriftedEvent {});
    case ReplicaEvent::Failed:
        return m_machine->process(FailedEvent {});
    case ReplicaEvent::Retried:
        return m_machine->process(RetriedEvent {});
    }
    return false;
}

} // namespace Lavenderloft::Placement
