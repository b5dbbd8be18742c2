#include "DesiredState/Queries/DiffSections.h"

namespace Lavenderloft::DesiredState::Queries {

namespace {

    constexpr size_t abbreviatedDigestLength = 12;

    // Concurrent requests of all replicas when warm.
    uint64_t capacityOf(const Pool& pool)
    {
        return static_cast<uint64_t>(pool.replicas) * pool.fullLimit;
    }

    uint64_t capacityDuringSwitch(const Pool& pool)
    {
        auto out = std::min(pool.replicas, pool.maxUnavailable);
        return static_cast<uint64_t>(pool.replicas - out) * pool.fullLimit;
    }

    void diffVersion(const Pool& old, const Pool& pool, ConsequenceList& consequences)
    {
        auto subject = "pool " + pool.name;
        for (auto& adapter : missingNames(old.adapters, pool.adapters))
            consequences.addNote(subject, "adapter " + abbreviateDigest(adapter) + " is removed");
        for (auto& adapter : missingNames(pool.adapters, old.adapters))
            consequences.addNote(subject, "adapter " + abbreviateDigest(adapter) + " is added");
        // Replicas stay in service while they load adapters, so capacity changes only with the manifest.
        if (old.manifest == pool.manifest)
            return;
        consequences.addNote(subject, "version " + abbreviateDigest(old.manifest) + " -> " + abbreviateDigest(pool.manifest));
        consequences.addNote(subject, "capacity while replicas switch: at least " + std::to_string(capacityDuringSwitch(pool)) + " requests at a time");
        if (pool.replicas && !capacityDuringSwitch(pool))
            consequences.addWarning(subject, "all replicas may switch at once", "lower maxUnavailable below " + std::to_string(pool.replicas));
    }

    void diffPool(const Pool& old, const Pool& pool, ConsequenceList& consequences)
    {
        auto subject = "pool " + pool.name;
        diffVersion(old, pool, consequences);
        consequences.addChange(subject, "replicas", old.replicas, pool.replicas);
        consequences.addChange(subject, "priority", old.priority, pool.priority);
        if (old.dataCentres != pool.dataCentres) {
            auto describe = [](const Pool& described) { return described.dataCentres.empty() ? std::string("all that are in") : joinNames(described.dataCentres); };
            consequences.addNote(subject, "data centres " + describe(old) + " -> " + describe(pool));
        }
        consequences.addChange(subject, "maxUnavailable", old.maxUnavailable, pool.maxUnavailable);
        consequences.addChange(subject, "coldLimit", old.coldLimit, pool.coldLimit);
        consequences.addChange(subject, "fullLimit", old.fullLimit, pool.fullLimit);
        consequences.addChange(subject, "warmWindowMs", old.warmWindow.count(), pool.warmWindow.count());
        if (old.checksFence != pool.checksFence)
            consequences.addNote(subject, pool.checksFence ? "its engines now check fencing tokens" : "its engines no longer check fencing tokens");
        consequences.addChange(subject, "capacity in requests at a time", capacityOf(old), capacityOf(pool));
        if (capacityOf(pool) < capacityOf(old))
            consequences.addWarning(subject, "capacity falls to " + std::to_string(capacityOf(pool)) + " of " + std::to_string(capacityOf(old)), "check that its load fits");
    }

    // Warns of data centres that get no replica, unless the previous document left some without one as well.
    void warnOfEmptyDataCentres(const Document& before, const Pool* old, const Document& after, const Pool& pool, ConsequenceList& consequences)
    {
        auto subject = "pool " + pool.name;
        auto eligible = eligibleDataCentres(after, pool);
        auto oldEligible = old ? eligibleDataCentres(before, *old) : std::vector<std::string> {};
        if (eligible.empty()) {
            if (!old || !oldEligible.empty())
                consequences.addWarning(subject, "none of its data centres is in, so it has no replicas", "add a data centre that is in");
            return;
        }
        bool hadTooFewReplicas = old && old->replicas < oldEligible.size();
        if (pool.replicas < eligible.size() && !hadTooFewReplicas) {
            consequences.addWarning(subject,
                std::to_string(pool.replicas) + " replicas leave " + std::to_string(eligible.size() - pool.replicas) + " of its "
                    + std::to_string(eligible.size()) + " data centres without one",
                "raise replicas or name fewer data centres");
        }
    }

} // namespace

std::string abbreviateDigest(const std::string& digest)
{
    return digest.substr(0, abbreviatedDigestLength);
}

void diffPools(const Document& before, const Document& after, ConsequenceList& consequences)
{
    for (auto& old : before.pools) {
        if (!after.findPool(old.name))
            consequences.addNote("pool " + old.name, "is removed; capacity in requests at a time " + std::to_string(capacityOf(old)) + " -> 0");
    }
    for (auto& pool : after.pools) {
        auto* old = before.findPool(pool.name);
        if (old)
            diffPool(*old, pool, consequences);
        else
            consequences.addNote("pool " + pool.name, "is added; capacity in requests at a time 0 -> " + std::to_string(capacityOf(pool)));
        warnOfEmptyDataCentres(before, old, after, pool, consequences);
    }
}

} // namespace Lavenderloft::DesiredState::Queries
