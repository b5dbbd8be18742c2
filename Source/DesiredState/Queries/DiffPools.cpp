#include "DesiredState/Queries/DiffSections.h"

namespace Lavenderloft::DesiredState::Queries {

namespace {

    constexpr size_t shownDigestDigits = 12;

    // Requests at a time that all warm replicas bear.
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
        for (auto& adapter : namesMissing(old.adapters, pool.adapters))
            consequences.note(subject, "adapter " + shownDigest(adapter) + " is removed");
        for (auto& adapter : namesMissing(pool.adapters, old.adapters))
            consequences.note(subject, "adapter " + shownDigest(adapter) + " is added");
        // Loading an adapter takes no replica out of service.
        if (old.manifest == pool.manifest)
            return;
        consequences.note(subject, "version " + shownDigest(old.manifest) + " -> " + shownDigest(pool.manifest));
        consequences.note(subject, "capacity while replicas switch: at least " + std::to_string(capacityDuringSwitch(pool)) + " requests at a time");
        if (pool.replicas && !capacityDuringSwitch(pool))
            consequences.warn(subject, "all replicas may switch at once", "lower maxUnavailable below " + std::to_string(pool.replicas));
    }

    void diffPool(const Pool& old, const Pool& pool, ConsequenceList& consequences)
    {
        auto subject = "pool " + pool.name;
        diffVersion(old, pool, consequences);
        consequences.noteChange(subject, "replicas", old.replicas, pool.replicas);
        consequences.noteChange(subject, "priority", old.priority, pool.priority);
        if (old.dataCentres != pool.dataCentres) {
            auto shown = [](const Pool& shownPool) { return shownPool.dataCentres.empty() ? std::string("all that are in") : joinNames(shownPool.dataCentres); };
            consequences.note(subject, "data centres " + shown(old) + " -> " + shown(pool));
        }
        consequences.noteChange(subject, "maxUnavailable", old.maxUnavailable, pool.maxUnavailable);
        consequences.noteChange(subject, "coldLimit", old.coldLimit, pool.coldLimit);
        consequences.noteChange(subject, "fullLimit", old.fullLimit, pool.fullLimit);
        consequences.noteChange(subject, "warmWindowMs", old.warmWindow.count(), pool.warmWindow.count());
        if (old.checksFence != pool.checksFence)
            consequences.note(subject, pool.checksFence ? "its engines now check fencing tokens" : "its engines no longer check fencing tokens");
        consequences.noteChange(subject, "capacity in requests at a time", capacityOf(old), capacityOf(pool));
        if (capacityOf(pool) < capacityOf(old))
            consequences.warn(subject, "capacity falls to " + std::to_string(capacityOf(pool)) + " of " + std::to_string(capacityOf(old)), "check that its load fits");
    }

    // Warns of places that the replicas cannot fill, if that is new.
    void checkPlaces(const Document& before, const Pool* old, const Document& after, const Pool& pool, ConsequenceList& consequences)
    {
        auto subject = "pool " + pool.name;
        auto places = usableDataCentres(after, pool);
        auto oldPlaces = old ? usableDataCentres(before, *old) : std::vector<std::string> {};
        if (places.empty()) {
            if (!old || !oldPlaces.empty())
                consequences.warn(subject, "none of its data centres is in, so it has no replicas", "add a data centre that is in");
            return;
        }
        bool wasShort = old && old->replicas < oldPlaces.size();
        if (pool.replicas < places.size() && !wasShort) {
            consequences.warn(subject,
                std::to_string(pool.replicas) + " replicas leave " + std::to_string(places.size() - pool.replicas) + " of its "
                    + std::to_string(places.size()) + " data centres without one",
                "raise replicas or name fewer data centres");
        }
    }

} // namespace

std::string shownDigest(const std::string& digest)
{
    return digest.substr(0, shownDigestDigits);
}

void diffPools(const Document& before, const Document& after, ConsequenceList& consequences)
{
    for (auto& old : before.pools) {
        if (!after.findPool(old.name))
            consequences.note("pool " + old.name, "is removed; capacity in requests at a time " + std::to_string(capacityOf(old)) + " -> 0");
    }
    for (auto& pool : after.pools) {
        auto* old = before.findPool(pool.name);
        if (old)
            diffPool(*old, pool, consequences);
        else
            consequences.note("pool " + pool.name, "is added; capacity in requests at a time 0 -> " + std::to_string(capacityOf(pool)));
        checkPlaces(before, old, after, pool, consequences);
    }
}

} // namespace Lavenderloft::DesiredState::Queries
