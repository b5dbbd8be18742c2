#include "Scheduling/Queries/DistributeSlots.h"

#include "Scheduling/Queries/ShareFreedSlots.h"
#include "Scheduling/StarvationFloor.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Lavenderloft::Scheduling::Queries {

namespace {

    using namespace std::chrono_literals;

    // Agents report at this interval.
    constexpr std::chrono::duration<double> reportInterval = 100ms;

    // Index chosen with a probability in proportion to its weight.
    size_t chooseWeighted(const std::vector<double>& weights, Base::RandomSource& random)
    {
        auto point = random.nextFraction() * std::accumulate(weights.begin(), weights.end(), 0.0);
        for (size_t i = 0; i < weights.size(); ++i) {
            point -= weights[i];
            if (point < 0)
                return i;
        }
        return weights.size() - 1;
    }

    // Distribution of the slots of one report.
    class Distribution {
    public:
        Distribution(unsigned freeSlots, const std::vector<SlotClaim>& claims, double slotsElsewhere, Base::RandomSource& random)
            : m_claims(claims)
            , m_random(random)
            , m_freeSlots(freeSlots)
            , m_scale(freeSlots / (freeSlots + std::max(slotsElsewhere, 0.0)))
            , m_granted(claims.size())
        {
        }

        std::vector<unsigned> run()
        {
            std::vector<DemandByUrgency> demands;
            for (auto& claim : m_claims)
                demands.push_back(claim.byUrgency);
            if (auto last = findLeastUrgentBand(demands)) {
                reserveFloor(*last);
                for (size_t band = 0; band < *last; ++band)
                    distributeBand(band);
            }
            distributeByDemand();
            return std::move(m_granted);
        }

    private:
        static double needOf(const UrgencyDemand& demand)
        {
            return demand.waiting + demand.requestsPerSecond * reportInterval.count();
        }

        // No router can use more slots than are free.
        std::vector<double> usableNeeds(size_t band) const
        {
            std::vector<double> needs;
            for (auto& claim : m_claims)
                needs.push_back(std::min<double>(m_freeSlots, needOf(claim.byUrgency.bands[band])));
            return needs;
        }

        unsigned roundAtRandom(double number)
        {
            auto whole = std::floor(number);
            return static_cast<unsigned>(whole) + (m_random.nextFraction() < number - whole ? 1 : 0);
        }

        void grant(std::vector<double>& needs)
        {
            auto weights = needs;
            for (size_t i = 0; i < weights.size(); ++i)
                weights[i] *= m_claims[i].preference;
            auto chosen = chooseWeighted(weights, m_random);
            needs[chosen] = std::max(needs[chosen] - 1, 0.0);
            ++m_granted[chosen];
            ++m_used;
        }

        void distribute(size_t band, unsigned count)
        {
            auto needs = usableNeeds(band);
            for (unsigned i = 0; i < count && m_used < m_freeSlots; ++i) {
                if (std::accumulate(needs.begin(), needs.end(), 0.0) <= 0)
                    return;
                grant(needs);
            }
        }

        bool isBelowFloor(size_t band) const
        {
            double all = 0;
            double own = 0;
            for (auto& claim : m_claims) {
                for (auto& demand : claim.byUrgency.bands)
                    all += demand.startsPerSecond;
                own += claim.byUrgency.bands[band].startsPerSecond;
            }
            return own < all / StarvationFloor::startsPerFloorStart;
        }

        void reserveFloor(size_t band)
        {
            auto slots = static_cast<double>(m_freeSlots) / StarvationFloor::startsPerFloorStart;
            // Most starts are on released slots, so a part of the grants alone would not make up for a floor that is missed.
            distribute(band, roundAtRandom(std::max(slots, isBelowFloor(band) ? m_scale : 0)));
        }

        void distributeBand(size_t band)
        {
            double total = 0;
            double arrivals = 0;
            for (auto& claim : m_claims) {
                auto& demand = claim.byUrgency.bands[band];
                total += needOf(demand);
                arrivals += demand.requestsPerSecond * reportInterval.count();
            }
            // Headroom of one standard deviation of the arrivals of all routers together.
            total += std::sqrt(arrivals);
            distribute(band, roundAtRandom(std::min<double>(total * m_scale, m_freeSlots)));
        }

        void distributeByDemand()
        {
            std::vector<double> weights;
            for (auto& claim : m_claims)
                weights.push_back(claim.demand * claim.preference);
            for (; m_used < m_freeSlots && !m_claims.empty(); ++m_used)
                ++m_granted[chooseWeighted(weights, m_random)];
        }

        const std::vector<SlotClaim>& m_claims;
        Base::RandomSource& m_random;
        const unsigned m_freeSlots;
        // Part of the need that the slots of this engine are to cover.
        const double m_scale;
        std::vector<unsigned> m_granted;
        unsigned m_used = 0;
    };

} // namespace

std::vector<unsigned> distributeSlots(unsigned freeSlots, const std::vector<SlotClaim>& claims, double slotsElsewhere, Base::RandomSource& random)
{
    return freeSlots == 0 ? std::vector<unsigned>(claims.size()) : Distribution(freeSlots, claims, slotsElsewhere, random).run();
}

} // namespace Lavenderloft::Scheduling::Queries
