#include "Weights/TransferLifeCycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Lavenderloft::Weights {

namespace {

    namespace mpl = boost::mpl;
    namespace msm = boost::msm;
    using msm::front::none;
    using msm::front::Row;

    struct ManifestAccepted { };
    struct ManifestUnusable { };
    struct ChunksVerified { };
    struct VersionWithdrawn { };

    template <TransferPhase enteredPhase>
    struct PhaseState : msm::front::state<> {
        template <typename Event, typename Machine>
        void on_entry(const Event&, Machine& machine)
        {
            machine.phase = enteredPhase;
        }
    };

    struct Definition : msm::front::state_machine_def<Definition> {
        using FetchingManifest = PhaseState<TransferPhase::FetchingManifest>;
        using FetchingChunks = PhaseState<TransferPhase::FetchingChunks>;
        using Complete = PhaseState<TransferPhase::Complete>;
        using Failed = PhaseState<TransferPhase::Failed>;
        using Stopped = PhaseState<TransferPhase::Stopped>;
        using initial_state = FetchingManifest;

        struct transition_table : mpl::vector<
                                      Row<FetchingManifest, ManifestAccepted, FetchingChunks, none, none>,
                                      Row<FetchingManifest, ManifestUnusable, Failed, none, none>,
                                      Row<FetchingManifest, VersionWithdrawn, Stopped, none, none>,
                                      Row<FetchingChunks, ChunksVerified, Complete, none, none>,
                                      Row<FetchingChunks, VersionWithdrawn, Stopped, none, none>,
                                      Row<Complete, VersionWithdrawn, Stopped, none, none>,
                                      Row<Failed, VersionWithdrawn, Stopped, none, none>> { };

        template <typename Event, typename Machine>
        void no_transition(const Event&, Machine&, int)
        {
        }

        TransferPhase phase = TransferPhase::FetchingManifest;
    };

} // namespace

struct TransferLifeCycle::Machine : msm::back::state_machine<Definition> { };

TransferLifeCycle::TransferLifeCycle()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

TransferLifeCycle::~TransferLifeCycle() = default;
TransferLifeCycle::TransferLifeCycle(TransferLifeCycle&&) noexcept = default;
TransferLifeCycle& TransferLifeCycle::operator=(TransferLifeCycle&&) noexcept = default;

TransferPhase TransferLifeCycle::phase() const
{
    return m_machine->phase;
}

bool TransferLifeCycle::acceptManifest()
{
    return m_machine->process_event(ManifestAccepted {}) == msm::back::HANDLED_TRUE;
}

bool TransferLifeCycle::fail()
{
    return m_machine->process_event(ManifestUnusable {}) == msm::back::HANDLED_TRUE;
}

bool TransferLifeCycle::complete()
{
    return m_machine->process_event(ChunksVerified {}) == msm::back::HANDLED_TRUE;
}

bool TransferLifeCycle::withdraw()
{
    return m_machine->process_event(VersionWithdrawn {}) == msm::back::HANDLED_TRUE;
}

} // namespace Lavenderloft::Weights
