#include "Fleet/Queries/FindUrgency.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::Fleet;

namespace {

Organisation organisationOf(const std::string& name, std::optional<int> priority)
{
    return { name, priority, {} };
}

// Two routes of priorities 0 and 2, and one organisation for each of the priorities.
struct TestConfiguration : Configuration {
    explicit TestConfiguration(const std::vector<std::optional<int>>& organisationPriorities)
    {
        for (int priority : { 0, 2 }) {
            auto route = std::make_shared<Route>();
            route->priority = priority;
            routes["h"].push_back(route);
        }
        hasOrganisations = !organisationPriorities.empty();
        for (auto& priority : organisationPriorities) {
            auto name = std::to_string(organisations.size());
            organisations.push_back(std::make_shared<Organisation>(organisationOf(name, priority)));
            organisationsByKey[name] = organisations.back();
        }
        urgencies = Queries::listUrgencies(*this);
    }

    int urgencyOf(size_t route, size_t organisation) const
    {
        return Queries::findUrgency(*this, *routes.at("h")[route], organisations.empty() ? nullptr : organisations[organisation].get());
    }

    std::vector<std::shared_ptr<Organisation>> organisations;
};

} // namespace

// Guards against urgent requests that wait behind less urgent ones because all organisations have the same priority, which
// then replaced the priorities of the routes.
Test(Urgency, routesDecideAmongOrganisationsOfOnePriority)
{
    TestConfiguration configuration({ 1, 1 });
    cr_assert_eq(configuration.urgencyOf(0, 0), 0);
    cr_assert_eq(configuration.urgencyOf(0, 1), 0);
    cr_assert_eq(configuration.urgencyOf(1, 0), 1);
}

// The priority of an organisation must go before that of a route.
Test(Urgency, organisationsGoBeforeRoutes)
{
    TestConfiguration configuration({ 0, 1 });
    cr_assert_lt(configuration.urgencyOf(1, 0), configuration.urgencyOf(0, 1));
    cr_assert_lt(configuration.urgencyOf(0, 0), configuration.urgencyOf(1, 0));
}

// Without organisations, or for one without a priority, the route alone decides.
Test(Urgency, routesDecideWithoutOrganisations)
{
    TestConfiguration none({});
    cr_assert_eq(none.urgencyOf(0, 0), 0);
    cr_assert_eq(none.urgencyOf(1, 0), 1);
    TestConfiguration mixed({ 1, std::nullopt });
    cr_assert_lt(mixed.urgencyOf(0, 1), mixed.urgencyOf(0, 0));
    cr_assert_gt(mixed.urgencyOf(1, 1), mixed.urgencyOf(1, 0));
}
