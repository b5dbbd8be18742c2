#include "Standin/Commands/VmListCommands.h"
#include "Standin/Queries/VmListQueries.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::Standin;
using namespace std::chrono_literals;

// Guards against a list that shows a change at once although a lag is set.
Test(VmList, showsChangesAfterLag)
{
    VmListState state;
    Lavenderloft::Base::TimePoint start {};
    Commands::setVmListLag(state, 2000ms);
    Commands::replaceVms(state, { { "t1", "127.0.0.1:1", "mak-1", "makedonia", "target", "live" } }, start);
    cr_assert_eq(Queries::visibleVms(state, start).size(), 1);
    auto changed = Commands::setVmState(state, "t1", "leaving", start + 5s);
    cr_assert(Lavenderloft::Base::succeeded(changed));
    cr_assert(Queries::visibleVms(state, start + 6s)[0].state == "live");
    cr_assert(Queries::visibleVms(state, start + 7s)[0].state == "leaving");
    cr_assert_not(Lavenderloft::Base::succeeded(Commands::setVmState(state, "t2", "leaving", start + 8s)));
}
