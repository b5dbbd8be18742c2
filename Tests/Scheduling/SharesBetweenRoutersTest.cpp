#include "Base/SeededRandom.h"
#include "Scheduling/Commands/RecordUrgency.h"
#include "Scheduling/Queries/ClampDemand.h"
#include "Scheduling/Queries/DistributeSlots.h"
#include "Scheduling/Queries/FindHeadroom.h"
#include "Scheduling/Queries/ReadUrgencyRates.h"
#include "Scheduling/Queries/ShareFreedSlots.h"

#include <cmath>
#include <criterion/criterion.h>
#include <limits>
#include <numeric>

using namespace Lavenderloft;
using namespace Lavenderloft::Scheduling;
using namespace std::chrono_literals;

namespace {

DemandByUrgency demandOf(UrgencyDemand urgent, UrgencyDemand leastUrgent)
{
    DemandByUrgency demand;
    demand.bands[0] = urgent;
    demand.bands[2] = leastUrgent;
    return demand;
}

double sumOf(const std::vector<std::optional<ReuseLimit>>& limits)
{
    return std::accumulate(limits.begin(), limits.end(), 0.0, [](double sum, auto& limit) { return sum + limit->requestsPerSecond; });
}

} // namespace

// A router with twenty less urgent requests must leave what urgent requests elsewhere need, and may reuse the rest.
Test(ShareFreedSlots, fillsTheMostUrgentBandFirst)
{
    std::vector<DemandByUrgency> routers { demandOf({}, { 20, 20, 12 }), demandOf({ 3, 0, 0 }, {}) };
    auto limits = Queries::shareFreedSlots(routers, { 12, 12 });
    cr_assert_eq(limits[0]->urgency, 2);
    // 12 a second less 3 for the urgent requests and two standard deviations.
    cr_assert_float_eq(limits[0]->requestsPerSecond, 12 - 3 - 2 * std::sqrt(3), 0.01);
    cr_assert_lt(limits[1]->requestsPerSecond, 0.01);
}

// An engine has just a part of the rate that all engines give to a router.
Test(ShareFreedSlots, givesAnEngineItsPartOfTheRate)
{
    std::vector<DemandByUrgency> routers { demandOf({}, { 20, 20, 12 }), demandOf({ 3, 0, 0 }, {}) };
    auto whole = Queries::shareFreedSlots(routers, { 48, 48 });
    auto part = Queries::shareFreedSlots(routers, { 48, 12 });
    cr_assert_float_eq(part[0]->requestsPerSecond, whole[0]->requestsPerSecond / 4, 1e-9);
}

// Urgent requests beyond the capacity must leave the least urgent ones one start in twenty, and share the others.
Test(ShareFreedSlots, keepsTheFloor)
{
    std::vector<DemandByUrgency> routers { demandOf({}, { 20, 20, 2 }), demandOf({ 30, 10, 12 }, {}), demandOf({ 30, 10, 6 }, {}) };
    auto limits = Queries::shareFreedSlots(routers, { 20, 20 });
    cr_assert_eq(limits[0]->urgency, 0);
    cr_assert_float_eq(limits[0]->requestsPerSecond, 1, 1e-9);
    cr_assert_float_eq(limits[1]->requestsPerSecond, 9.5, 1e-9);
    cr_assert_float_eq(sumOf(limits), 20, 1e-9, "the whole rate is given out");
}

// Requests of one band have no limit, as with routers that do not report their demand by urgency.
Test(ShareFreedSlots, doesNotLimitOneBand)
{
    DemandByUrgency only;
    only.bands[3] = { 20, 20, 10 };
    for (auto& limit : Queries::shareFreedSlots({ only, only }, { 12, 12 }))
        cr_assert_not(limit.has_value());
    cr_assert_not(Queries::isUrgentUnmet({ only, only }));
    cr_assert(Queries::isUrgentUnmet({ only, demandOf({ 3, 1, 3 }, {}) }));
    cr_assert(Queries::isUrgentUnmet({ only, demandOf({ 6, 0, 4 }, {}) }), "requests that are refused at once lack a slot too");
    cr_assert_not(Queries::isUrgentUnmet({ only, demandOf({ 6, 0, 6 }, {}) }));
}

// A router that claims any demand must not take the part of the others, and the rate is not given out twice when the number
// of routers changes.
Test(ShareFreedSlots, boundsWhatOneRouterGets)
{
    auto honest = demandOf({ 5, 2, 5 }, { 5, 5, 5 });
    auto hostile = demandOf(Queries::clampDemand({ 1e300, UINT32_MAX, 0 }), {});
    auto limits = Queries::shareFreedSlots({ honest, hostile, honest }, { 12, 12 });
    cr_assert_eq(limits[0]->urgency, 0);
    cr_assert_float_eq(limits[0]->requestsPerSecond, limits[2]->requestsPerSecond, 1e-9);
    cr_assert_geq(limits[0]->requestsPerSecond, 19.0 / 3 - 0.01);
    for (size_t routers = 1; routers < 40; ++routers) {
        auto shared = Queries::shareFreedSlots(std::vector<DemandByUrgency>(routers, honest), { 12, 12 });
        cr_assert_leq(sumOf(shared), 10.0 * static_cast<double>(routers) + 1e-6, "%zu routers", routers);
    }
}

// The least satisfied need gets as much as possible.
Test(DivideMaxMin, satisfiesSmallNeeds)
{
    auto parts = Queries::divideMaxMin({ 1, 10, 4 }, 9);
    cr_assert_float_eq(parts[0], 1, 1e-9);
    cr_assert_float_eq(parts[1], 4, 1e-9);
    cr_assert_float_eq(parts[2], 4, 1e-9);
    cr_assert(Queries::divideMaxMin({}, 9).empty());
}

// Urgent requests must get the free slots before others, but no more than they need.
Test(DistributeSlots, servesUrgentRequestsFirst)
{
    Base::SeededRandom random(3);
    std::vector<Queries::SlotClaim> claims { { demandOf({}, { 20, 20, 12 }), 20 }, { demandOf({ 0, 3, 0 }, {}), 1 } };
    unsigned urgent = 0;
    unsigned lessUrgent = 0;
    constexpr unsigned rounds = 400;
    for (unsigned i = 0; i < rounds; ++i) {
        auto granted = Queries::distributeSlots(4, claims, 0, random);
        cr_assert_eq(granted[0] + granted[1], 4);
        urgent += granted[1];
        lessUrgent += granted[0];
    }
    cr_assert_geq(urgent, 3 * rounds * 9 / 10);
    // 20 in 21 of the rest go there by demand.
    cr_assert_geq(lessUrgent, rounds * 9 / 10);
}

// Many engines that each have a free slot must not all grant it to the same three requests.
Test(DistributeSlots, leavesAPartToOtherEngines)
{
    Base::SeededRandom random(3);
    std::vector<Queries::SlotClaim> claims { { demandOf({}, { 200, 20, 120 }), 200 }, { demandOf({ 0, 3, 0 }, {}), 1 } };
    unsigned urgent = 0;
    constexpr unsigned rounds = 1000;
    for (unsigned i = 0; i < rounds; ++i)
        urgent += Queries::distributeSlots(1, claims, 57, random)[1];
    // 3 of 58 slots, and a part in 201 of the others.
    cr_assert_geq(urgent, 30);
    cr_assert_leq(urgent, 100);
}

// Among urgent requests, a router that claims a huge demand must not take the slots of the others.
Test(DistributeSlots, boundsTheWeightOfARouter)
{
    Base::SeededRandom random(3);
    auto hostile = demandOf(Queries::clampDemand({ 1e9, UINT32_MAX, 0 }), {});
    std::vector<Queries::SlotClaim> claims { { hostile, 1 }, { demandOf({ 0, 2, 0 }, { 1, 0, 1 }), 1 } };
    unsigned honest = 0;
    constexpr unsigned rounds = 1000;
    for (unsigned i = 0; i < rounds; ++i)
        honest += Queries::distributeSlots(2, claims, 0, random)[1];
    cr_assert_geq(honest, 2 * rounds * 4 / 10);
}

// Numbers that no router can have must not reach the decisions.
Test(ClampDemand, bringsNumbersWithinTheirBounds)
{
    for (auto rate : { -1.0, std::numeric_limits<double>::infinity(), -std::numeric_limits<double>::infinity(), std::nan("") }) {
        cr_assert_float_eq(Queries::clampRate(rate), 0, 1e-9);
        cr_assert(Queries::isOutOfBounds({ rate, 0, 0 }));
        cr_assert(Queries::isOutOfBounds({ 0, 0, rate }));
    }
    cr_assert_float_eq(Queries::clampRate(1e300), 10000, 1e-9);
    cr_assert_eq(Queries::clampDemand({ 1, UINT32_MAX, 1 }).waiting, 1000);
    cr_assert_not(Queries::isOutOfBounds({ 10000, 1000, 10000 }));
}

// Random arrivals at a rate of 4 a second that hold slots for a second use 4 on average and at times more.
Test(FindHeadroom, coversTheVariance)
{
    cr_assert_float_eq(Queries::findHeadroom(4, 1s), 8, 1e-9);
    cr_assert_float_eq(Queries::findHeadroom(0, 1s), 0, 1e-9);
}

// Rates must follow a burst within its length, and end with it.
Test(UrgencyRates, followABurst)
{
    UrgencyRates rates;
    Base::TimePoint now { 1h };
    for (int i = 0; i < 300; ++i) {
        now += 10ms;
        Commands::countArrival(rates, 0, now);
        Commands::countStart(rates, 9, now);
    }
    DemandByUrgency demand;
    Queries::addRates(demand, rates, now);
    cr_assert_float_eq(demand.bands[0].requestsPerSecond, 100, 10);
    cr_assert_float_eq(demand.bands[3].startsPerSecond, 100, 10);
    cr_assert_lt(Queries::rateAt(rates.arrivals[0], now + 5s), 1);
}

// The limit must hold back less urgent requests at its rate and never more urgent ones, and start without tokens.
Test(ReuseAllowance, limitsLessUrgentRequests)
{
    ReuseAllowance allowance;
    Base::TimePoint now { 1h };
    cr_assert(allowance.allows(2, now));
    unsigned started = 0;
    for (int i = 0; i < 1000; ++i, now += 10ms) {
        allowance.setLimit(ReuseLimit { 2, 4 }, now);
        cr_assert(allowance.allows(1, now));
        if (!allowance.allows(2, now))
            continue;
        allowance.recordStart(2, now);
        ++started;
    }
    cr_assert_geq(started, 38);
    cr_assert_leq(started, 40);
    cr_assert(allowance.allows(2, now + ReuseAllowance::limitLifetime));
    allowance.setLimit(std::nullopt, now);
    cr_assert(allowance.allows(2, now));
}
